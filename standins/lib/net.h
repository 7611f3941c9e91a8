/* UDP sockets on loopback whose datagrams can carry any source address of 127.0.0.0/8. */
#pragma once

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/** net_address - reads "a.b.c.d:port"; a malformed address ends the process */
struct sockaddr_in net_address (const char *text);

/** net_ip - reads "a.b.c.d"; a malformed address ends the process */
struct in_addr net_ip (const char *text);

/** net_udp_socket - Return: a non-blocking socket bound to @address; a failure ends the process */
int net_udp_socket (const struct sockaddr_in *address);

/** net_any - Return: the wildcard address with @port, 0 for one that the kernel chooses */
struct sockaddr_in net_any (uint16_t port);

/**
 * net_receive - takes one datagram
 * @from: (out): its sender
 * @to: (nullable) (out): the local address it was sent to
 *
 * Return: its size, or -1 when none waits.
 */
ssize_t net_receive (int fd, uint8_t *bytes, size_t capacity, struct sockaddr_in *from,
                     struct in_addr *to);

/** net_send - sends one datagram, from @source when it is not NULL; a full queue drops it */
void net_send (int fd, const uint8_t *bytes, size_t size, const struct sockaddr_in *to,
               const struct in_addr *source);

/** net_udp_try - as net_udp_socket(); Return: -1 when @address is taken */
int net_udp_try (const struct sockaddr_in *address);
