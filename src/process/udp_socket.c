#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kumquat/internal/udp_socket.h"

#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)

static bool
is_ipv4_mapped (const KqAddress *address)
{
  static const uint8_t prefix[12] = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };
  return memcmp (address->ip, prefix, sizeof prefix) == 0;
}

socklen_t
kq_address_to_sockaddr (const KqAddress *address, KqSocketAddress *out)
{
  memset (out, 0, sizeof *out);
  if (is_ipv4_mapped (address))
    {
      out->v4.sin_family = AF_INET;
      out->v4.sin_port = htons (address->port);
      memcpy (&out->v4.sin_addr, address->ip + 12, 4);
      return sizeof out->v4;
    }
  out->v6.sin6_family = AF_INET6;
  out->v6.sin6_port = htons (address->port);
  memcpy (&out->v6.sin6_addr, address->ip, 16);
  return sizeof out->v6;
}

void
kq_address_from_sockaddr (const KqSocketAddress *in, KqAddress *out)
{
  memset (out, 0, sizeof *out);
  if (in->any.sa_family == AF_INET)
    {
      out->ip[10] = 0xff;
      out->ip[11] = 0xff;
      memcpy (out->ip + 12, &in->v4.sin_addr, 4);
      out->port = ntohs (in->v4.sin_port);
      return;
    }
  memcpy (out->ip, &in->v6.sin6_addr, 16);
  out->port = ntohs (in->v6.sin6_port);
}

static int
open_socket (const KqAddress *address, KqError *error)
{
  int family = is_ipv4_mapped (address) ? AF_INET : AF_INET6;
  int fd = socket (family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return kq_error_set (error, KQ_ERROR_SYSTEM, "socket: %s; raise the open file limit",
                         strerror (errno));
  return fd;
}

int
kq_udp_open (const KqAddress *local, bool share_port, KqError *error)
{
  char text[KQ_ADDRESS_TEXT_BYTES];
  KqSocketAddress address;
  socklen_t length = kq_address_to_sockaddr (local, &address);
  int fd = open_socket (local, error);
  if (fd < 0)
    return -1;
  int size = SOCKET_BUFFER_BYTES;
  int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  if (share_port)
    setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (bind (fd, &address.any, length) < 0)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM, "cannot bind %s: %s; set an address of this instance",
                    kq_address_format (local, text), strerror (errno));
      close (fd);
      return -1;
    }
  return fd;
}

int
kq_udp_connect (const KqAddress *peer, KqError *error)
{
  char text[KQ_ADDRESS_TEXT_BYTES];
  KqSocketAddress address;
  socklen_t length = kq_address_to_sockaddr (peer, &address);
  int fd = open_socket (peer, error);
  if (fd < 0)
    return -1;
  if (connect (fd, &address.any, length) < 0)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM, "cannot reach %s: %s; check the target's address",
                    kq_address_format (peer, text), strerror (errno));
      close (fd);
      return -1;
    }
  return fd;
}

int
kq_udp_send (int fd, const KqAddress *to, const uint8_t *bytes, size_t size)
{
  if (to == NULL)
    return send (fd, bytes, size, 0) < 0 ? -1 : 0;
  KqSocketAddress address;
  socklen_t length = kq_address_to_sockaddr (to, &address);
  return sendto (fd, bytes, size, 0, &address.any, length) < 0 ? -1 : 0;
}

unsigned
kq_udp_receive (int fd, KqUdpReceiver receive, void *data)
{
  static _Thread_local uint8_t buffers[KQ_UDP_BATCH][KQ_DATAGRAM_BYTES + 1];
  KqSocketAddress addresses[KQ_UDP_BATCH];
  struct mmsghdr messages[KQ_UDP_BATCH];
  struct iovec vectors[KQ_UDP_BATCH];
  memset (messages, 0, sizeof messages);
  for (unsigned i = 0; i < KQ_UDP_BATCH; i++)
    {
      vectors[i].iov_base = buffers[i];
      vectors[i].iov_len = sizeof buffers[i];
      messages[i].msg_hdr.msg_iov = &vectors[i];
      messages[i].msg_hdr.msg_iovlen = 1;
      messages[i].msg_hdr.msg_name = &addresses[i];
      messages[i].msg_hdr.msg_namelen = sizeof addresses[i];
    }
  int count = recvmmsg (fd, messages, KQ_UDP_BATCH, MSG_DONTWAIT, NULL);
  for (int i = 0; i < count; i++)
    {
      KqAddress from;
      kq_address_from_sockaddr (&addresses[i], &from);
      receive (&from, buffers[i], messages[i].msg_len, data);
    }
  return count < 0 ? 0 : (unsigned)count;
}
