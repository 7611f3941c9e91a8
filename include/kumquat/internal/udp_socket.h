/* Non-blocking UDP sockets addressed by KqAddress. */
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include "kumquat/types.h"

/* An address in the kernel's form. */
typedef union
{
  struct sockaddr any;
  struct sockaddr_in v4;
  struct sockaddr_in6 v6;
} KqSocketAddress;

/** kq_socket_address - writes @address in the kernel's form; Return: its length */
socklen_t kq_socket_address (const KqAddress *address, KqSocketAddress *out);

/** kq_socket_address_read - reads the kernel's form */
void kq_socket_address_read (const KqSocketAddress *in, KqAddress *out);

#define KQ_UDP_BATCH 32 /* datagrams taken by one call of kq_udp_receive() */

/**
 * kq_udp_open - opens a bound socket
 * @local: (borrowed): address to bind; port 0 takes any
 * @share_port: several sockets of this process bind the same port and the kernel spreads datagrams
 *
 * Return: a descriptor that the caller closes, or -1 with @error set.
 */
int kq_udp_open (const KqAddress *local, bool share_port, KqError *error);

/** kq_udp_connect - Return: a descriptor connected to @peer that the caller closes, or -1 */
int kq_udp_connect (const KqAddress *peer, KqError *error);

/** kq_udp_send - Return: 0, or -1 when the datagram could not be handed to the network; @to is NULL
 * on a connected socket */
int kq_udp_send (int fd, const KqAddress *to, const uint8_t *bytes, size_t size);

typedef void (*KqUdpReceiver) (const KqAddress *from, const uint8_t *bytes, size_t size,
                               void *data);

/** kq_udp_receive - calls @receive for up to KQ_UDP_BATCH datagrams; larger ones than
 * KQ_DATAGRAM_BYTES are passed with size KQ_DATAGRAM_BYTES + 1
 *
 * Return: the number of datagrams. */
unsigned kq_udp_receive (int fd, KqUdpReceiver receive, void *data);
