/* Data path of an agent: receives datagrams of balancers and other agents, and sends answers. */

#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/agent_impl.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/test_switch.h"
#include "kumquat/internal/udp_socket.h"
#include "kumquat/log.h"

#define DIRECTORY_ENTRIES_MAX 200000 /* flows of other targets that a home records */
#define DEDUP_ENTRIES_MAX     20000
#define DEDUP_LIFETIME_US     (247 * KQ_SECOND) /* EXCHANGE_LIFETIME of RFC 7252 */
#define ECHO_LIFETIME_US      (60 * KQ_SECOND)

static void
send_packet (KqAgent *agent, const KqAddress *to, const KqPacket *packet)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  int size = kq_packet_encode (packet, bytes, sizeof bytes);
  if (size >= 0)
    kq_udp_send (agent->data_fd, to, bytes, (size_t)size);
}

static bool
is_coap (const KqAgent *agent)
{
  return agent->service.protocol == KQ_PROTOCOL_COAP;
}

/* Answers of the target or of the request guard return to the caller through a balancer. */
static void
send_answer (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  KqAgent *agent = data;
  const KqAddress *via = kq_flow_sockets_via (agent->flows, key);
  if (via == NULL)
    via = agent->current_via;
  if (via == NULL)
    {
      agent->counters.answers_without_path++;
      return;
    }
  via = kq_return_paths_choose (&agent->paths, via, &agent->random);
  KqPacket packet = { .type = KQ_PACKET_ANSWER,
                      .key = *key,
                      .revision = agent->service.revision,
                      .via = *via,
                      .from = agent->self,
                      .payload = bytes,
                      .payload_size = size };
  agent->counters.answers_sent++;
  send_packet (agent, via, &packet);
}

static void
send_to_target (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  KqAgent *agent = data;
  agent->counters.sent_to_target++;
  if (kq_flow_sockets_send (agent->flows, key, bytes, size, NULL) < 0)
    agent->counters.target_unreachable++;
}

static void
request_finished (const KqFlowKey *key, KqTime latency, bool answered, void *data)
{
  (void)key;
  (void)latency;
  (void)answered;
  (void)data;
}

static void
receive_from_target (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  KqAgent *agent = data;
  KqTime now = kq_clock_now ();
  kq_placement_touch (agent->placement, key, now);
  if (is_coap (agent))
    kq_request_guard_from_target (agent->guard, key, bytes, size, now);
  else
    send_answer (key, bytes, size, agent);
}

static void
placement_send (const KqPeer *to, const uint8_t *bytes, size_t size, void *data)
{
  KqAgent *agent = data;
  KqPacket packet = { .type = KQ_PACKET_PEER,
                      .key.service = agent->service.number,
                      .revision = agent->service.revision,
                      .to = to->incarnation,
                      .from = agent->self,
                      .payload = bytes,
                      .payload_size = size };
  send_packet (agent, &to->data, &packet);
}

static void
placement_deliver (const KqPacket *packet, void *data)
{
  KqAgent *agent = data;
  if (kq_flow_sockets_set_via (agent->flows, &packet->key, &packet->via) < 0)
    return;
  if (is_coap (agent))
    kq_request_guard_from_caller (agent->guard, &packet->key, packet->payload, packet->payload_size,
                                  kq_clock_now ());
  else
    send_to_target (&packet->key, packet->payload, packet->payload_size, agent);
}

static void
placement_forward (const KqPeer *to, const KqPacket *packet, void *data)
{
  KqAgent *agent = data;
  KqPacket forwarded = *packet;
  forwarded.to = to->incarnation;
  forwarded.hops++;
  send_packet (agent, &to->data, &forwarded);
}

/* The refusal contains the datagram, so that the balancer can send it to another agent. */
static void
return_to_balancer (KqAgent *agent, const KqPacket *packet, KqErrorKind reason)
{
  KqPacket refused = *packet;
  refused.type = KQ_PACKET_REFUSED;
  refused.reason = reason;
  refused.from = agent->self;
  send_packet (agent, &packet->via, &refused);
}

static void
placement_refuse (const KqPacket *packet, KqErrorKind reason, void *data)
{
  KqAgent *agent = data;
  if (reason == KQ_ERROR_STALE)
    agent->counters.stale_incarnation++;
  if (reason == KQ_ERROR_WRONG_SERVICE)
    agent->counters.wrong_service++;
  if (reason == KQ_ERROR_STALE || reason == KQ_ERROR_WRONG_SERVICE || !is_coap (agent))
    {
      return_to_balancer (agent, packet, reason);
      return;
    }
  const KqAddress *previous_via = agent->current_via;
  agent->current_via = &packet->via;
  kq_request_guard_refuse (agent->guard, &packet->key, packet->payload, packet->payload_size,
                           reason, kq_clock_now ());
  agent->current_via = previous_via;
}

static unsigned
placement_load (void *data)
{
  KqAgent *agent = data;
  if (is_coap (agent))
    return kq_request_guard_load (agent->guard, kq_clock_now ());
  KqPlacementStats stats = kq_placement_stats (agent->placement);
  return (unsigned)(stats.flows_open * 1000 / agent->service.connections);
}

static void
placement_flow_closed (const KqFlowKey *key, void *data)
{
  KqAgent *agent = data;
  kq_request_guard_flow_closed (agent->guard, key, kq_clock_now ());
  kq_flow_sockets_close (agent->flows, key);
}

static unsigned
disabled_rules (void)
{
  unsigned rules = 0;
  if (kq_test_is_disabled ("echo"))
    rules |= KQ_DISABLE_ECHO;
  if (kq_test_is_disabled ("kept-answers"))
    rules |= KQ_DISABLE_ANSWER_DEDUP;
  if (kq_test_is_disabled ("refusal"))
    rules |= KQ_DISABLE_REFUSAL_DEDUP;
  return rules;
}

static KqRequestGuardParams
guard_params (KqAgent *agent)
{
  const KqService *service = &agent->service;
  KqRequestGuardParams params = { .target_id = agent->self.id,
                                  .incarnation = agent->self.incarnation,
                                  .slots = service->slots,
                                  .queue_max = agent->params.queue_max,
                                  .deadline_us = service->deadline_ms * KQ_MS,
                                  .dedup_entries_max = DEDUP_ENTRIES_MAX,
                                  .dedup_lifetime_us = DEDUP_LIFETIME_US,
                                  .echo_us = ECHO_LIFETIME_US,
                                  .ramp_us = agent->params.ramp_us,
                                  .target_refusal_trusted = agent->params.refusals_not_run,
                                  .seed = kq_random_next (&agent->random),
                                  .disable = disabled_rules () };
  memcpy (params.echo_key, agent->params.echo_key, sizeof params.echo_key);
  for (unsigned i = 0; i < service->worth_count && i < KQ_REQUEST_CLASSES_MAX; i++)
    {
      KqRequestClass *class_of_requests = &params.classes[params.class_count++];
      memcpy (class_of_requests->name, service->worths[i].class_name, KQ_NAME_BYTES);
      class_of_requests->worth = service->worths[i].worth;
    }
  return params;
}

static KqRequestGuard *
create_guard (KqAgent *agent)
{
  static const KqRequestGuardOps ops = { .to_target = send_to_target,
                                         .to_caller = send_answer,
                                         .finished = request_finished };
  KqRequestGuardParams params = guard_params (agent);
  return kq_request_guard_new (agent->incarnation_state, &params, &ops, agent);
}

static KqPlacement *
create_placement (KqAgent *agent)
{
  static const KqPlacementOps ops = { .send = placement_send,
                                      .deliver = placement_deliver,
                                      .forward = placement_forward,
                                      .refuse = placement_refuse,
                                      .load = placement_load,
                                      .closed = placement_flow_closed };
  KqPlacementParams params = { .self = agent->self,
                               .flows_max = agent->service.connections,
                               .directory_max = DIRECTORY_ENTRIES_MAX,
                               .idle_us = agent->params.flow_idle_us,
                               .admit_load = agent->params.admit_load,
                               .load_step = 1000 / agent->service.slots,
                               .seed = kq_random_next (&agent->random) };
  return kq_placement_new (agent->incarnation_state, &params, &ops, agent);
}

int
kq_agent_incarnation_start (KqAgent *agent)
{
  static const KqFlowSocketsOps ops = { .received = receive_from_target };
  agent->self = kq_control_self (agent->control)->peer;
  agent->incarnation_state = talloc_new (agent);
  agent->flows =
      kq_flow_sockets_new (agent->incarnation_state, agent->ev, &agent->params.target, &ops, agent);
  agent->guard = create_guard (agent);
  agent->placement = create_placement (agent);
  if (agent->flows == NULL || agent->guard == NULL || agent->placement == NULL)
    {
      kq_agent_incarnation_end (agent);
      return -1;
    }
  agent->counters.incarnations++;
  return 0;
}

void
kq_agent_incarnation_end (KqAgent *agent)
{
  TALLOC_FREE (agent->incarnation_state);
  agent->flows = NULL;
  agent->guard = NULL;
  agent->placement = NULL;
}

static void
handle_peer_message (KqAgent *agent, const KqPacket *packet, KqTime now)
{
  KqError error = { 0 };
  if (packet->to != agent->self.incarnation)
    {
      agent->counters.stale_incarnation++;
      return;
    }
  if (kq_placement_message (agent->placement, &packet->from, packet->payload, packet->payload_size,
                            now, &error) < 0)
    kq_log (LOG_NOTICE, "placement-message-refused", "reason=%s", kq_error_kind_name (error.kind));
}

static void
receive_datagram (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  KqAgent *agent = data;
  KqPacket packet;
  (void)from;
  agent->counters.datagrams_in++;
  if (size > KQ_DATAGRAM_BYTES || kq_packet_decode (bytes, size, &packet, NULL) < 0)
    {
      agent->counters.datagrams_malformed++;
      return;
    }
  bool request = packet.type == KQ_PACKET_REQUEST;
  if (!request && packet.type != KQ_PACKET_PEER)
    {
      agent->counters.datagrams_malformed++;
      return;
    }
  if (kq_test_is_disabled ("identity"))
    {
      packet.key.service = agent->service.number;
      packet.to = agent->self.incarnation;
    }
  if (agent->placement == NULL || packet.key.service != agent->service.number)
    {
      agent->counters.wrong_service++;
      if (request)
        return_to_balancer (agent, &packet, KQ_ERROR_WRONG_SERVICE);
      return;
    }
  agent->current_via = &packet.via;
  if (request)
    kq_placement_packet (agent->placement, &packet, kq_clock_now ());
  else
    handle_peer_message (agent, &packet, kq_clock_now ());
  agent->current_via = NULL;
}

static void
on_readable (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  KqAgent *agent = data;
  kq_udp_receive (agent->data_fd, receive_datagram, agent);
}

int
kq_agent_data_open (KqAgent *agent, KqError *error)
{
  agent->data_fd = kq_udp_open (&agent->params.data, false, error);
  if (agent->data_fd < 0)
    return -1;
  agent->data_event =
      tevent_add_fd (agent->ev, agent, agent->data_fd, TEVENT_FD_READ, on_readable, agent);
  if (agent->data_event == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for a socket event; raise the memory limit");
  return 0;
}

void
kq_agent_apply_limits (KqAgent *agent)
{
  KqRequestGuardParams params = guard_params (agent);
  kq_request_guard_set_limits (agent->guard, &params, kq_clock_now ());
}
