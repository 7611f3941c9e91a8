#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "standin.h"

#define SOCKET_BUFFER_BYTES (4 << 20)

struct in_addr
net_ip (const char *text)
{
  struct in_addr ip;
  if (inet_pton (AF_INET, text, &ip) != 1)
    standin_fail (text, "use an IPv4 address such as 127.0.0.1");
  return ip;
}

struct sockaddr_in
net_address (const char *text)
{
  char copy[64];
  snprintf (copy, sizeof copy, "%s", text);
  char *colon = strrchr (copy, ':');
  long port = colon != NULL ? strtol (colon + 1, NULL, 10) : -1;
  if (colon == NULL || port < 0 || port > UINT16_MAX)
    standin_fail (text, "use an address and port such as 127.0.0.1:7001");
  *colon = '\0';
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr = net_ip (copy) };
  return address;
}

struct sockaddr_in
net_any (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_ANY) };
}

int
net_udp_try (const struct sockaddr_in *address)
{
  int on = 1;
  int bytes = SOCKET_BUFFER_BYTES;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    standin_fail ("socket", "raise the open file limit");
  setsockopt (fd, IPPROTO_IP, IP_PKTINFO, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  if (bind (fd, (const struct sockaddr *)address, sizeof *address) == 0)
    return fd;
  close (fd);
  return -1;
}

int
net_udp_socket (const struct sockaddr_in *address)
{
  int fd = net_udp_try (address);
  if (fd >= 0)
    return fd;
  char ip[INET_ADDRSTRLEN];
  fprintf (stderr, "bind %s:%u\n", inet_ntop (AF_INET, &address->sin_addr, ip, sizeof ip),
           ntohs (address->sin_port));
  standin_fail ("bind", "choose an unused local address");
}

ssize_t
net_receive (int fd, uint8_t *bytes, size_t capacity, struct sockaddr_in *from, struct in_addr *to)
{
  struct iovec part = { bytes, capacity };
  union
  {
    struct cmsghdr align;
    char bytes[CMSG_SPACE (sizeof (struct in_pktinfo))];
  } control;
  struct msghdr message = { .msg_name = from,
                            .msg_namelen = sizeof *from,
                            .msg_iov = &part,
                            .msg_iovlen = 1,
                            .msg_control = control.bytes,
                            .msg_controllen = sizeof control.bytes };
  ssize_t size = recvmsg (fd, &message, 0);
  if (size < 0 || to == NULL)
    return size;
  to->s_addr = htonl (INADDR_ANY);
  for (struct cmsghdr *c = CMSG_FIRSTHDR (&message); c != NULL; c = CMSG_NXTHDR (&message, c))
    if (c->cmsg_level == IPPROTO_IP && c->cmsg_type == IP_PKTINFO)
      {
        struct in_pktinfo info;
        memcpy (&info, CMSG_DATA (c), sizeof info);
        *to = info.ipi_addr;
      }
  return size;
}

void
net_send (int fd, const uint8_t *bytes, size_t size, const struct sockaddr_in *to,
          const struct in_addr *source)
{
  struct iovec part = { (void *)(uintptr_t)bytes, size };
  union
  {
    struct cmsghdr align;
    char bytes[CMSG_SPACE (sizeof (struct in_pktinfo))];
  } control;
  struct msghdr message = {
    .msg_name = (void *)(uintptr_t)to, .msg_namelen = sizeof *to, .msg_iov = &part, .msg_iovlen = 1
  };
  if (source != NULL)
    {
      memset (&control, 0, sizeof control);
      message.msg_control = control.bytes;
      message.msg_controllen = sizeof control.bytes;
      struct cmsghdr *c = CMSG_FIRSTHDR (&message);
      c->cmsg_level = IPPROTO_IP;
      c->cmsg_type = IP_PKTINFO;
      c->cmsg_len = CMSG_LEN (sizeof (struct in_pktinfo));
      struct in_pktinfo info = { .ipi_spec_dst = *source };
      memcpy (CMSG_DATA (c), &info, sizeof info);
    }
  (void)!sendmsg (fd, &message, 0);
}
