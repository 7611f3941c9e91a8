/* Bulk transport: ZeroMQ on a tevent loop. A ROUTER socket receives requests on the control
 * address. Each request is sent on a separate DEALER socket, which is closed when the answer
 * arrives or the request times out. The descriptor of a ZeroMQ socket only signals that its state
 * may have changed, so ZMQ_EVENTS is checked until no message is left. */

#include <errno.h>
#include <nss.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <talloc.h>
#include <zmq.h>

#include "kumquat/internal/control_wire.h"

#define EXCHANGES_MAX        16
#define EXCHANGE_TIMEOUT_S   3
#define HANDSHAKE_TIMEOUT_MS 2000
#define QUEUE_MESSAGES_MAX   64
#define REQUESTS_PER_WAKEUP  16 /* requests handled before other events of the loop */
#define ENDPOINT_BYTES       96
#define IDENTITY_BYTES       255

typedef struct KqExchange
{
  LIST_ENTRY (KqExchange) link;
  KqControlBulk *bulk;
  void *socket;
} KqExchange;

struct KqControlBulk
{
  struct tevent_context *ev;
  KqControlBulkOps ops;
  void *data;
  void *router;
  size_t max_bytes;
  uint8_t *buffer; /* for one answer */
  LIST_HEAD (, KqExchange) exchanges;
  unsigned exchange_count;
  uint64_t dropped;
};

/* ZeroMQ context shared by all KqControlBulk of a process; only the main thread creates and frees
 * them. */
static void *shared_context;
static unsigned shared_users;

static void read_again (struct tevent_context *ev, struct tevent_immediate *immediate, void *data);

static void
context_release (void)
{
  if (--shared_users > 0)
    return;
  zmq_ctx_term (shared_context);
  shared_context = NULL;
}

static void *
open_socket (const KqControlBulk *bulk, int type)
{
  const int zero = 0;
  const int queue = QUEUE_MESSAGES_MAX;
  const int handshake = HANDSHAKE_TIMEOUT_MS;
  const int64_t max_bytes = (int64_t)bulk->max_bytes;
  void *socket = zmq_socket (shared_context, type);
  if (socket == NULL)
    return NULL;
  zmq_setsockopt (socket, ZMQ_LINGER, &zero, sizeof zero);
  zmq_setsockopt (socket, ZMQ_SNDHWM, &queue, sizeof queue);
  zmq_setsockopt (socket, ZMQ_RCVHWM, &queue, sizeof queue);
  zmq_setsockopt (socket, ZMQ_HANDSHAKE_IVL, &handshake, sizeof handshake);
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof max_bytes);
  return socket;
}

static int
descriptor_of (void *socket)
{
  int fd = -1;
  size_t size = sizeof fd;
  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  return fd;
}

static bool
readable (void *socket)
{
  int events = 0;
  size_t size = sizeof events;
  zmq_getsockopt (socket, ZMQ_EVENTS, &events, &size);
  return (events & ZMQ_POLLIN) != 0;
}

static const char *
endpoint_of (const KqAddress *address, char endpoint[ENDPOINT_BYTES])
{
  char text[KQ_ADDRESS_TEXT_BYTES];
  snprintf (endpoint, ENDPOINT_BYTES, "tcp://%s", kq_address_format (address, text));
  return endpoint;
}

/* Receives the last frame of a message; drops a message with more frames.
 * Return: whether a frame was received. */
static bool
receive_last (KqControlBulk *bulk, void *socket, zmq_msg_t *frame)
{
  if (zmq_msg_recv (frame, socket, ZMQ_DONTWAIT) < 0)
    return false;
  if (zmq_msg_more (frame) == 0)
    return true;
  bulk->dropped++;
  while (zmq_msg_more (frame) != 0 && zmq_msg_recv (frame, socket, ZMQ_DONTWAIT) >= 0)
    continue;
  return false;
}

static void
answer_request (KqControlBulk *bulk, zmq_msg_t *identity, zmq_msg_t *frame)
{
  int size = bulk->ops.request (zmq_msg_data (frame), zmq_msg_size (frame), bulk->buffer,
                                bulk->max_bytes, bulk->data);
  if (size <= 0)
    return;
  if (zmq_send (bulk->router, zmq_msg_data (identity), zmq_msg_size (identity),
                ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0 ||
      zmq_send (bulk->router, bulk->buffer, (size_t)size, ZMQ_DONTWAIT) < 0)
    bulk->dropped++;
}

static void
handle_request (KqControlBulk *bulk)
{
  zmq_msg_t identity;
  zmq_msg_t frame;
  zmq_msg_init (&identity);
  zmq_msg_init (&frame);
  bool complete = zmq_msg_recv (&identity, bulk->router, ZMQ_DONTWAIT) >= 0;
  if (complete && zmq_msg_more (&identity) == 0)
    bulk->dropped++;
  else if (complete && receive_last (bulk, bulk->router, &frame))
    answer_request (bulk, &identity, &frame);
  zmq_msg_close (&identity);
  zmq_msg_close (&frame);
}

static void
router_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  KqControlBulk *bulk = data;
  (void)fde;
  (void)flags;
  for (unsigned i = 0; i < REQUESTS_PER_WAKEUP; i++)
    {
      if (!readable (bulk->router))
        return;
      handle_request (bulk);
    }
  struct tevent_immediate *again = tevent_create_immediate (bulk);
  if (again != NULL)
    tevent_schedule_immediate (again, ev, read_again, bulk);
}

static void
read_again (struct tevent_context *ev, struct tevent_immediate *immediate, void *data)
{
  talloc_free (immediate);
  router_ready (ev, NULL, 0, data);
}

static int
close_exchange (KqExchange *exchange)
{
  LIST_REMOVE (exchange, link);
  exchange->bulk->exchange_count--;
  /* Free the event first: ZeroMQ closes the descriptor in another thread, and its number may be
   * reused by another socket, whose event would be removed instead. */
  talloc_free_children (exchange);
  zmq_close (exchange->socket);
  return 0;
}

static void
exchange_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  KqExchange *exchange = data;
  KqControlBulk *bulk = exchange->bulk;
  zmq_msg_t frame;
  (void)ev;
  (void)fde;
  (void)flags;
  if (!readable (exchange->socket))
    return;
  zmq_msg_init (&frame);
  bool complete = receive_last (bulk, exchange->socket, &frame);
  talloc_free (exchange);
  if (complete)
    bulk->ops.answer (zmq_msg_data (&frame), zmq_msg_size (&frame), bulk->data);
  zmq_msg_close (&frame);
}

static void
exchange_timed_out (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
                    void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  talloc_free (data);
}

static KqExchange *
new_exchange (KqControlBulk *bulk, const KqAddress *to)
{
  char endpoint[ENDPOINT_BYTES];
  KqExchange *exchange = talloc_zero (bulk, KqExchange);
  if (exchange == NULL)
    return NULL;
  exchange->bulk = bulk;
  exchange->socket = open_socket (bulk, ZMQ_DEALER);
  if (exchange->socket == NULL)
    {
      talloc_free (exchange);
      return NULL;
    }
  LIST_INSERT_HEAD (&bulk->exchanges, exchange, link);
  bulk->exchange_count++;
  talloc_set_destructor (exchange, close_exchange);
  struct timeval end = tevent_timeval_current_ofs (EXCHANGE_TIMEOUT_S, 0);
  int fd = descriptor_of (exchange->socket);
  if (zmq_connect (exchange->socket, endpoint_of (to, endpoint)) < 0 ||
      tevent_add_fd (bulk->ev, exchange, fd, TEVENT_FD_READ, exchange_ready, exchange) == NULL ||
      tevent_add_timer (bulk->ev, exchange, end, exchange_timed_out, exchange) == NULL)
    {
      talloc_free (exchange);
      return NULL;
    }
  return exchange;
}

void
kq_control_bulk_request (KqControlBulk *bulk, const KqAddress *to, const uint8_t *bytes,
                         size_t size)
{
  KqExchange *exchange = NULL;
  if (bulk->exchange_count < EXCHANGES_MAX)
    exchange = new_exchange (bulk, to);
  if (exchange == NULL || zmq_send (exchange->socket, bytes, size, ZMQ_DONTWAIT) < 0)
    bulk->dropped++;
  if (exchange != NULL)
    (void)readable (exchange->socket);
}

uint64_t
kq_control_bulk_dropped (const KqControlBulk *bulk)
{
  return bulk->dropped;
}

static int
close_bulk (KqControlBulk *bulk)
{
  while (!LIST_EMPTY (&bulk->exchanges))
    talloc_free (LIST_FIRST (&bulk->exchanges));
  talloc_free_children (bulk);
  if (bulk->router != NULL)
    zmq_close (bulk->router);
  context_release ();
  return 0;
}

static int
listen_on (KqControlBulk *bulk, const KqAddress *listen, KqError *error)
{
  char endpoint[ENDPOINT_BYTES];
  const int ipv6 = 1;
  bulk->router = open_socket (bulk, ZMQ_ROUTER);
  if (bulk->router == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "cannot open a ZeroMQ socket: %s; raise the open file limit",
                         zmq_strerror (errno));
  zmq_setsockopt (bulk->router, ZMQ_IPV6, &ipv6, sizeof ipv6);
  if (zmq_bind (bulk->router, endpoint_of (listen, endpoint)) < 0)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "cannot bind %s: %s; set control.address to a free address", endpoint,
                         zmq_strerror (errno));
  int fd = descriptor_of (bulk->router);
  if (tevent_add_fd (bulk->ev, bulk, fd, TEVENT_FD_READ, router_ready, bulk) == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for a socket event; raise the memory limit");
  return 0;
}

/* ZeroMQ looks up a protocol number by name. By default, the C library would search a dozen
 * directories for an NSS module that reads a protocol database, which takes a tenth of the start
 * time of a process. */
static void *
new_context (void)
{
  __nss_configure_lookup ("protocols", "files");
  return zmq_ctx_new ();
}

KqControlBulk *
kq_control_bulk_new (const void *parent, struct tevent_context *ev, const KqAddress *listen,
                     size_t max_bytes, const KqControlBulkOps *ops, void *data, KqError *error)
{
  if (shared_context == NULL)
    shared_context = new_context ();
  KqControlBulk *bulk = talloc_zero (parent, KqControlBulk);
  if (shared_context == NULL || bulk == NULL)
    {
      talloc_free (bulk);
      kq_error_set (error, KQ_ERROR_SYSTEM, "out of memory for ZeroMQ; raise the memory limit");
      return NULL;
    }
  shared_users++;
  bulk->ev = ev;
  bulk->ops = *ops;
  bulk->data = data;
  bulk->max_bytes = max_bytes;
  LIST_INIT (&bulk->exchanges);
  talloc_set_destructor (bulk, close_bulk);
  bulk->buffer = talloc_array (bulk, uint8_t, max_bytes);
  if (bulk->buffer == NULL || listen_on (bulk, listen, error) < 0)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM, "out of memory for ZeroMQ; raise the memory limit");
      talloc_free (bulk);
      return NULL;
    }
  return bulk;
}
