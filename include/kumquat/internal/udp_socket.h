/* Non-blocking UDP sockets addressed by KqAddress. */
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include "kumquat/types.h"

/* Socket address of the operating system. */
typedef union
{
  struct sockaddr any;
  struct sockaddr_in v4;
  struct sockaddr_in6 v6;
} KqSocketAddress;

/** kq_address_to_sockaddr - converts @address to a socket address; Return: its length */
socklen_t kq_address_to_sockaddr (const KqAddress *address, KqSocketAddress *out);

/** kq_address_from_sockaddr - converts a socket address to a KqAddress */
void kq_address_from_sockaddr (const KqSocketAddress *in, KqAddress *out);

#define KQ_UDP_BATCH 32 /* maximum number of datagrams received by one call of kq_udp_receive() */

/**
 * kq_udp_open - opens a socket and binds it
 * @local: (borrowed): address to bind; port 0 selects a free port
 * @share_port: set SO_REUSEPORT: several sockets of this process bind the same port and the kernel
 *   distributes the datagrams
 *
 * Return: a descriptor that the caller closes, or -1 with @error set.
 */
int kq_udp_open (const KqAddress *local, bool share_port, KqError *error);

/** kq_udp_connect - Return: a descriptor connected to @peer that the caller closes, or -1 */
int kq_udp_connect (const KqAddress *peer, KqError *error);

/** kq_udp_send - sends a datagram; @to is NULL for a connected socket. Return: 0, or -1 if the
 * kernel did not accept the datagram */
int kq_udp_send (int fd, const KqAddress *to, const uint8_t *bytes, size_t size);

typedef void (*KqUdpReceiver) (const KqAddress *from, const uint8_t *bytes, size_t size,
                               void *data);

/** kq_udp_receive - calls @receive for up to KQ_UDP_BATCH datagrams; a datagram larger than
 * KQ_DATAGRAM_BYTES is truncated to KQ_DATAGRAM_BYTES + 1 bytes
 *
 * Return: the number of datagrams. */
unsigned kq_udp_receive (int fd, KqUdpReceiver receive, void *data);
