/* UDP sockets on the loopback interface that can send from any source address of 127.0.0.0/8. */
#pragma once

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/** net_address - parses "a.b.c.d:port"; exits the process on a malformed address */
struct sockaddr_in net_address (const char *text);

/** net_ip - parses "a.b.c.d"; exits the process on a malformed address */
struct in_addr net_ip (const char *text);

/** net_udp_socket - Return: a non-blocking socket bound to @address; exits on failure */
int net_udp_socket (const struct sockaddr_in *address);

/** net_any - Return: the wildcard address with @port; port 0 lets the kernel choose */
struct sockaddr_in net_any (uint16_t port);

/**
 * net_receive - receives one datagram
 * @from: (out): source address
 * @to: (nullable) (out): destination address
 *
 * Return: its size, or -1 if none is available.
 */
ssize_t net_receive (int fd, uint8_t *bytes, size_t capacity, struct sockaddr_in *from,
                     struct in_addr *to);

/** net_send - sends one datagram, from @source unless NULL; drops it if the buffer is full */
void net_send (int fd, const uint8_t *bytes, size_t size, const struct sockaddr_in *to,
               const struct in_addr *source);

/** net_udp_try - as net_udp_socket(); Return: -1 if @address cannot be bound */
int net_udp_try (const struct sockaddr_in *address);
