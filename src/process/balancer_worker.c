/* A worker thread of a balancer: its event loop serves one socket per service port and one on the
 * data port. The kernel distributes datagrams over the workers' sockets (SO_REUSEPORT); any worker
 * can forward any datagram because all workers share routes and flows. */

#include <string.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/balancer_impl.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/list.h"
#include "kumquat/internal/udp_socket.h"
#include "kumquat/log.h"

/**
 * struct ServicePort - a worker's socket for one service
 */
typedef struct
{
  KqLink link;
  KqBalancerWorker *worker;
  struct tevent_fd *event;
  uint32_t service;
  uint16_t port;
  int fd;
} ServicePort;

struct KqBalancerWorker
{
  KqForwarder *forwarder;
  struct tevent_context *ev;
  pthread_t thread;
  int wake_fd;
  int data_fd;
  _Atomic bool stop;
  uint64_t routes_version;
  KqLink ports;
};

#define COUNT(forwarder, name)                                                                     \
  atomic_fetch_add_explicit (&(forwarder)->counters.name, 1, memory_order_relaxed)

static void
send_packet (KqBalancerWorker *worker, const KqPeer *to, KqPacket *packet)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  packet->to = to->incarnation;
  int size = kq_packet_encode (packet, bytes, KQ_DATAGRAM_BYTES);
  if (size < 0 || kq_udp_send (worker->data_fd, &to->data, bytes, (size_t)size) < 0)
    COUNT (worker->forwarder, send_failed);
}

/* Sets the candidates of @packet and selects the receiver: the flow's owner while it is alive, else
 * the home of the flow's bucket. Return: 0, or -1 when the service is unknown or has no target. */
static int
choose_receiver (KqForwarder *forwarder, KqPacket *packet, const KqPeer *owner, KqPeer *to)
{
  unsigned bucket = kq_routing_bucket (kq_flow_key_hash (&packet->key));
  bool owner_is_alive = false;
  pthread_rwlock_rdlock (&forwarder->routes_lock);
  const KqRoute *route =
      forwarder->routes == NULL ? NULL : kq_routes_find (forwarder->routes, packet->key.service);
  if (route != NULL)
    {
      packet->revision = route->revision;
      packet->candidate_count = kq_routing_candidates (route->routing, bucket, packet->candidates);
      owner_is_alive = owner != NULL && kq_routes_is_live (forwarder->routes, owner);
    }
  pthread_rwlock_unlock (&forwarder->routes_lock);
  if (route == NULL)
    {
      COUNT (forwarder, unknown_service);
      return -1;
    }
  if (!owner_is_alive && packet->candidate_count == 0)
    {
      COUNT (forwarder, no_target);
      return -1;
    }
  *to = owner_is_alive ? *owner : packet->candidates[0];
  return 0;
}

static void
forward_request (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  ServicePort *port = data;
  KqForwarder *forwarder = port->worker->forwarder;
  KqPacket packet = { .type = KQ_PACKET_REQUEST,
                      .key = { .service = port->service, .caller = *from },
                      .via = forwarder->data,
                      .payload = bytes,
                      .payload_size = size };
  KqPeer owner;
  KqPeer to;
  COUNT (forwarder, requests_in);
  if (size > KQ_DATAGRAM_BYTES)
    {
      COUNT (forwarder, malformed);
      return;
    }
  bool known = kq_flow_table_lookup (forwarder->flows, &packet.key, kq_clock_now (), &owner);
  if (choose_receiver (forwarder, &packet, known ? &owner : NULL, &to) == 0)
    send_packet (port->worker, &to, &packet);
}

static ServicePort *
find_port (KqBalancerWorker *worker, uint32_t service)
{
  for (KqLink *link = worker->ports.next; link != &worker->ports; link = link->next)
    {
      ServicePort *port = KQ_CONTAINER_OF (link, ServicePort, link);
      if (port->service == service)
        return port;
    }
  return NULL;
}

static void
forward_answer (KqBalancerWorker *worker, const KqPacket *packet)
{
  KqForwarder *forwarder = worker->forwarder;
  ServicePort *port = find_port (worker, packet->key.service);
  COUNT (forwarder, answers_in);
  if (port == NULL)
    {
      COUNT (forwarder, unknown_service);
      return;
    }
  if (kq_udp_send (port->fd, &packet->key.caller, packet->payload, packet->payload_size) < 0)
    COUNT (forwarder, send_failed);
  kq_flow_table_store (forwarder->flows, &packet->key, &packet->from, kq_clock_now ());
}

/* An agent that refuses a datagram has not delivered it to its target, so the balancer may send it
 * to another agent. */
static void
handle_refusal (KqBalancerWorker *worker, KqPacket *packet)
{
  KqForwarder *forwarder = worker->forwarder;
  KqPeer refused = packet->from;
  KqPeer to;
  COUNT (forwarder, refusals_in);
  kq_flow_table_remove (forwarder->flows, &packet->key, NULL);
  if (packet->reason != KQ_ERROR_STALE && packet->reason != KQ_ERROR_WRONG_SERVICE)
    return;
  if (packet->hops >= KQ_HOPS_MAX)
    {
      COUNT (forwarder, hops_exhausted);
      return;
    }
  if (choose_receiver (forwarder, packet, NULL, &to) < 0)
    return;
  if (to.id == refused.id && to.incarnation == refused.incarnation)
    {
      if (packet->candidate_count < 2)
        return;
      to = packet->candidates[1];
    }
  packet->type = KQ_PACKET_REQUEST;
  packet->reason = KQ_ERROR_NONE;
  packet->via = forwarder->data;
  packet->hops++;
  memset (&packet->from, 0, sizeof packet->from);
  COUNT (forwarder, resent);
  send_packet (worker, &to, packet);
}

static void
receive_from_agent (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  KqBalancerWorker *worker = data;
  KqPacket packet;
  (void)from;
  if (size > KQ_DATAGRAM_BYTES || kq_packet_decode (bytes, size, &packet, NULL) < 0)
    {
      COUNT (worker->forwarder, malformed);
      return;
    }
  if (packet.type == KQ_PACKET_ANSWER)
    forward_answer (worker, &packet);
  else if (packet.type == KQ_PACKET_REFUSED)
    handle_refusal (worker, &packet);
  else
    COUNT (worker->forwarder, malformed);
}

static void
on_port_readable (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  ServicePort *port = data;
  kq_udp_receive (port->fd, forward_request, port);
}

static void
on_data_readable (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  KqBalancerWorker *worker = data;
  kq_udp_receive (worker->data_fd, receive_from_agent, worker);
}

static int
close_port (ServicePort *port)
{
  kq_list_remove (&port->link);
  TALLOC_FREE (port->event);
  if (port->fd >= 0)
    close (port->fd);
  return 0;
}

static void
open_port (KqBalancerWorker *worker, uint32_t service, uint16_t number)
{
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  KqAddress local = worker->forwarder->data;
  local.port = number;
  ServicePort *port = talloc_zero (worker->ev, ServicePort);
  if (port == NULL)
    return;
  kq_list_init (&port->link);
  port->worker = worker;
  port->service = service;
  port->port = number;
  port->fd = kq_udp_open (&local, true, &error);
  talloc_set_destructor (port, close_port);
  if (port->fd >= 0)
    port->event =
        tevent_add_fd (worker->ev, port, port->fd, TEVENT_FD_READ, on_port_readable, port);
  if (port->event == NULL)
    {
      kq_log (LOG_ERR, "service-port-failed", "service=%u port=%u error=%s", service, number,
              kq_log_quote (error.message, quoted));
      talloc_free (port);
      return;
    }
  kq_list_append (&worker->ports, &port->link);
}

/* Copies the routes under the lock, and opens and closes sockets after releasing it. */
static void
sync_ports (KqBalancerWorker *worker)
{
  KqForwarder *forwarder = worker->forwarder;
  uint64_t version = atomic_load (&forwarder->routes_version);
  if (version == worker->routes_version)
    return;
  worker->routes_version = version;
  pthread_rwlock_rdlock (&forwarder->routes_lock);
  unsigned count = forwarder->routes == NULL ? 0 : forwarder->routes->count;
  KqRoute *wanted = talloc_array (worker->ev, KqRoute, count + 1);
  for (unsigned i = 0; wanted != NULL && i < count; i++)
    wanted[i] = forwarder->routes->routes[i];
  pthread_rwlock_unlock (&forwarder->routes_lock);
  KqRoutes table = { .routes = wanted, .count = wanted == NULL ? 0 : count };
  for (KqLink *link = worker->ports.next, *next; link != &worker->ports; link = next)
    {
      next = link->next;
      ServicePort *port = KQ_CONTAINER_OF (link, ServicePort, link);
      const KqRoute *route = kq_routes_find (&table, port->service);
      if (route == NULL || route->port != port->port)
        talloc_free (port);
    }
  for (unsigned i = 0; i < table.count; i++)
    if (find_port (worker, wanted[i].number) == NULL)
      open_port (worker, wanted[i].number, wanted[i].port);
  talloc_free (wanted);
}

static void
on_wake (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  KqBalancerWorker *worker = data;
  eventfd_t value;
  eventfd_read (worker->wake_fd, &value);
  sync_ports (worker);
}

static void *
run_event_loop (void *data)
{
  KqBalancerWorker *worker = data;
  while (!atomic_load (&worker->stop) && tevent_loop_once (worker->ev) == 0)
    ;
  return NULL;
}

void
kq_balancer_worker_wake (KqBalancerWorker *worker)
{
  eventfd_write (worker->wake_fd, 1);
}

static int
destroy (KqBalancerWorker *worker)
{
  atomic_store (&worker->stop, true);
  kq_balancer_worker_wake (worker);
  pthread_join (worker->thread, NULL);
  TALLOC_FREE (worker->ev);
  close (worker->data_fd);
  close (worker->wake_fd);
  return 0;
}

KqBalancerWorker *
kq_balancer_worker_new (const void *parent, KqForwarder *forwarder, KqError *error)
{
  KqBalancerWorker *worker = talloc_zero (parent, KqBalancerWorker);
  if (worker == NULL)
    return NULL;
  worker->forwarder = forwarder;
  kq_list_init (&worker->ports);
  worker->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  worker->data_fd = kq_udp_open (&forwarder->data, true, error);
  worker->ev = tevent_context_init (NULL);
  if (worker->wake_fd < 0 || worker->data_fd < 0 || worker->ev == NULL)
    goto error;
  tevent_add_fd (worker->ev, worker->ev, worker->wake_fd, TEVENT_FD_READ, on_wake, worker);
  tevent_add_fd (worker->ev, worker->ev, worker->data_fd, TEVENT_FD_READ, on_data_readable, worker);
  if (pthread_create (&worker->thread, NULL, run_event_loop, worker) != 0)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM, "cannot start a thread; lower data.workers");
      goto error;
    }
  talloc_set_destructor (worker, destroy);
  return worker;

error:
  TALLOC_FREE (worker->ev);
  if (worker->data_fd >= 0)
    close (worker->data_fd);
  if (worker->wake_fd >= 0)
    close (worker->wake_fd);
  talloc_free (worker);
  return NULL;
}
