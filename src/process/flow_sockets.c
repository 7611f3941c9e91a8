#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/flow_sockets.h"
#include "kumquat/internal/list.h"
#include "kumquat/internal/udp_socket.h"

#define HASH_CHAINS 4096

typedef struct
{
  KqLink link;
  KqFlowSockets *sockets;
  KqFlowKey key;
  KqAddress via;
  struct tevent_fd *event;
  int fd; /* -1 until the first datagram to the target */
} FlowSocket;

struct KqFlowSockets
{
  struct tevent_context *ev;
  KqAddress target;
  KqFlowSocketsOps ops;
  void *data;
  KqLink chains[HASH_CHAINS];
};

KqFlowSockets *
kq_flow_sockets_new (const void *parent, struct tevent_context *ev, const KqAddress *target,
                     const KqFlowSocketsOps *ops, void *data)
{
  KqFlowSockets *sockets = talloc_zero (parent, KqFlowSockets);
  if (sockets == NULL)
    return NULL;
  sockets->ev = ev;
  sockets->target = *target;
  sockets->ops = *ops;
  sockets->data = data;
  for (unsigned i = 0; i < HASH_CHAINS; i++)
    kq_list_init (&sockets->chains[i]);
  return sockets;
}

static const KqLink *
chain_of (const KqFlowSockets *sockets, const KqFlowKey *key)
{
  return &sockets->chains[kq_flow_key_hash (key) % HASH_CHAINS];
}

static FlowSocket *
find (const KqFlowSockets *sockets, const KqFlowKey *key)
{
  const KqLink *chain = chain_of (sockets, key);
  for (KqLink *link = chain->next; link != chain; link = link->next)
    {
      FlowSocket *flow = KQ_CONTAINER_OF (link, FlowSocket, link);
      if (kq_flow_key_equal (&flow->key, key))
        return flow;
    }
  return NULL;
}

static int
close_flow (FlowSocket *flow)
{
  kq_list_remove (&flow->link);
  TALLOC_FREE (flow->event);
  if (flow->fd >= 0)
    close (flow->fd);
  return 0;
}

static FlowSocket *
find_or_add (KqFlowSockets *sockets, const KqFlowKey *key)
{
  FlowSocket *flow = find (sockets, key);
  if (flow != NULL)
    return flow;
  flow = talloc_zero (sockets, FlowSocket);
  if (flow == NULL)
    return NULL;
  flow->sockets = sockets;
  flow->key = *key;
  flow->fd = -1;
  kq_list_append ((KqLink *)chain_of (sockets, key), &flow->link);
  talloc_set_destructor (flow, close_flow);
  return flow;
}

/* Copies the key first, since the callback may close the flow. */
static void
on_readable (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  FlowSocket *flow = data;
  KqFlowSockets *sockets = flow->sockets;
  KqFlowKey key = flow->key;
  uint8_t bytes[KQ_DATAGRAM_BYTES + 1];
  ssize_t size = read (flow->fd, bytes, sizeof bytes);
  if (size >= 0 && size <= KQ_DATAGRAM_BYTES)
    sockets->ops.received (&key, bytes, (size_t)size, sockets->data);
}

int
kq_flow_sockets_set_via (KqFlowSockets *sockets, const KqFlowKey *key, const KqAddress *via)
{
  FlowSocket *flow = find_or_add (sockets, key);
  if (flow == NULL)
    return -1;
  flow->via = *via;
  return 0;
}

const KqAddress *
kq_flow_sockets_via (const KqFlowSockets *sockets, const KqFlowKey *key)
{
  const FlowSocket *flow = find (sockets, key);
  return flow == NULL ? NULL : &flow->via;
}

static int
open_flow (FlowSocket *flow, KqError *error)
{
  KqFlowSockets *sockets = flow->sockets;
  flow->fd = kq_udp_connect (&sockets->target, error);
  if (flow->fd < 0)
    return -1;
  flow->event = tevent_add_fd (sockets->ev, flow, flow->fd, TEVENT_FD_READ, on_readable, flow);
  if (flow->event == NULL)
    return kq_error_set (error, KQ_ERROR_FULL, "out of memory for a flow; lower connections");
  return 0;
}

int
kq_flow_sockets_send (KqFlowSockets *sockets, const KqFlowKey *key, const uint8_t *bytes,
                      size_t size, KqError *error)
{
  FlowSocket *flow = find_or_add (sockets, key);
  if (flow == NULL)
    return kq_error_set (error, KQ_ERROR_FULL, "out of memory for a flow; lower connections");
  if (flow->fd < 0 && open_flow (flow, error) < 0)
    return -1;
  if (kq_udp_send (flow->fd, NULL, bytes, size) < 0)
    return kq_error_set (error, KQ_ERROR_UNAVAILABLE,
                         "the target refused a datagram; check that it is running");
  return 0;
}

void
kq_flow_sockets_close (KqFlowSockets *sockets, const KqFlowKey *key)
{
  talloc_free (find (sockets, key));
}
