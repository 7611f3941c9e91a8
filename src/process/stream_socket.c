#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/stream_process.h"
#include "kumquat/internal/udp_socket.h"
#include "kumquat/log.h"

/* Batches received per readiness event of the socket, so that other events are not starved. */
#define BATCHES_PER_EVENT 4

/* Datagrams that a receive buffer of 64 KiB holds at most, with 64 bytes for each. */
#define BUFFERED_MAX 1024

/**
 * struct Descriptor - file descriptor that is closed when its talloc parent is freed
 */
typedef struct
{
  int fd;
  struct tevent_fd *event;
} Descriptor;

static int
close_descriptor (Descriptor *descriptor)
{
  TALLOC_FREE (descriptor->event);
  close (descriptor->fd);
  return 0;
}

/* Return: whether an ICMP error reported that the peer's port is closed. */
static bool
is_refused (int fd)
{
  int code = 0;
  socklen_t size = sizeof code;
  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &code, &size) == 0 && code == ECONNREFUSED;
}

static void
on_readable (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  KqStreamSocket *stream = data;
  (void)ev;
  (void)fde;
  (void)flags;
  if (stream->connection_refused != NULL && is_refused (stream->fd))
    stream->connection_refused (stream->data);
  if (stream->before_batch != NULL)
    stream->before_batch (stream->data);
  for (unsigned i = 0; i < BATCHES_PER_EVENT; i++)
    {
      unsigned received = kq_udp_receive (stream->fd, stream->receive, stream->data);
      if (received < KQ_UDP_BATCH || stream->outdated < received)
        stream->outdated = 0;
      else
        stream->outdated -= received;
      if (received < KQ_UDP_BATCH)
        break;
    }
  if (stream->batch_done != NULL)
    stream->batch_done (stream->data);
}

int
kq_stream_socket_open (const void *parent, struct tevent_context *ev, KqStreamSocket *stream,
                       const KqAddress *local, const KqAddress *peer, KqError *error)
{
  stream->fd = peer != NULL ? kq_udp_connect (peer, error) : kq_udp_open (local, false, error);
  if (stream->fd < 0)
    return -1;
  Descriptor *descriptor = talloc_zero (parent, Descriptor);
  descriptor->fd = stream->fd;
  talloc_set_destructor (descriptor, close_descriptor);
  descriptor->event =
      tevent_add_fd (ev, descriptor, stream->fd, TEVENT_FD_READ, on_readable, stream);
  if (descriptor->event == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for a socket event; raise the memory limit");
  return 0;
}

void
kq_stream_socket_mark_outdated (KqStreamSocket *stream)
{
  stream->outdated = BUFFERED_MAX;
}

void
kq_stream_socket_send (const KqStreamSocket *stream, const KqAddress *to, const uint8_t *bytes,
                       size_t size)
{
  if (kq_udp_send (stream->fd, to, bytes, size) == 0)
    return;
  if (errno == ECONNREFUSED && stream->connection_refused != NULL)
    stream->connection_refused (stream->data);
  else
    kq_log (LOG_DEBUG, "datagram-not-sent", "reason=\"%s\"", strerror (errno));
}

void
kq_stream_send_frame (const KqStreamSocket *stream, const KqAddress *to, const KqStreamFrame *frame)
{
  uint8_t bytes[KQ_STREAM_FRAME_BYTES];
  int size = kq_stream_frame_encode (frame, bytes, sizeof bytes);
  if (size < 0)
    kq_log (LOG_ERR, "frame-too-large", "segment_bytes=%zu", frame->segment_size);
  else
    kq_stream_socket_send (stream, to, bytes, (size_t)size);
}

KqAddress
kq_ipv4_address (uint32_t ip, uint16_t port)
{
  KqAddress address = { .port = port };
  address.ip[10] = 0xff;
  address.ip[11] = 0xff;
  for (unsigned i = 0; i < 4; i++)
    address.ip[12 + i] = (uint8_t)(ip >> (24 - 8 * i));
  return address;
}
