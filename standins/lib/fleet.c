#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "event_queue.h"
#include "fleet.h"
#include "kumquat/flow_table.h"
#include "kumquat/random.h"
#include "kumquat/routing.h"

#define SERVICE_NUMBER 1
#define TICK           (5 * KQ_MS)
#define BALANCERS_MAX  8
#define NODES_MAX      (KQ_FLEET_AGENTS_MAX + BALANCERS_MAX)
#define TABLE_CAPACITY 100000
#define TABLE_IDLE     (30 * KQ_SECOND)
#define BALANCER_PORT  1000

typedef enum
{
  EVENT_CALL,
  EVENT_PACKET,
  EVENT_MESSAGE,
  EVENT_ANSWER,
  EVENT_REFUSED,
  EVENT_VIEW,
  EVENT_STOP
} EventType;

typedef struct
{
  KqQueuedEvent queued;
  EventType type;
  unsigned node;
  void (*run) (void *data);
  void *data;
  KqPacket packet;
  KqErrorKind reason;
  KqPeer from;
  KqMember member;
  unsigned version;
  size_t size;
  uint8_t bytes[];
} Event;

/* The membership as one node knows it. Versions per member keep a late update from replacing a
 * newer one. */
typedef struct
{
  KqMember members[KQ_FLEET_AGENTS_MAX];
  unsigned versions[KQ_FLEET_AGENTS_MAX];
  KqRouting *routing;
} View;

typedef struct
{
  KqFleet *fleet;
  unsigned number;
  bool alive;
  KqPeer peer;
  KqPlacement *placement;
  KqFlowTable *owned;
  unsigned previous_home[KQ_BUCKETS]; /* per bucket: number of the previous home plus 1, or 0 */
} Agent;

struct KqFleet
{
  KqFleetParams params;
  KqRandom random;
  KqService service;
  KqTime now;
  KqEventQueue *queue;
  Agent agents[KQ_FLEET_AGENTS_MAX];
  unsigned agent_count;
  KqMember actual_members[KQ_FLEET_AGENTS_MAX];
  unsigned actual_versions[KQ_FLEET_AGENTS_MAX];
  View views[NODES_MAX];
  KqFlowTable *tables[BALANCERS_MAX];
  uint64_t message_bytes;
};

static void
push (KqFleet *fleet, Event *event)
{
  kq_event_queue_push (fleet->queue, &event->queued);
}

static Event *
new_event (KqFleet *fleet, EventType type, KqTime time, unsigned node, size_t size)
{
  Event *event = talloc_zero_size (fleet, sizeof (Event) + size);
  event->type = type;
  event->queued.time = time;
  event->node = node;
  event->size = size;
  return event;
}

static KqTime
network_delay (KqFleet *fleet)
{
  double half = (double)fleet->params.delay / 2;
  return (KqTime)(half - half * log (1 - kq_random_double (&fleet->random)));
}

/* Sends @event over the network, which may lose or duplicate it; takes ownership of @event. */
static void
transmit (KqFleet *fleet, Event *event)
{
  event->queued.time = fleet->now + network_delay (fleet);
  if (event->type == EVENT_PACKET)
    event->packet.payload = event->bytes;
  if (kq_random_double (&fleet->random) < fleet->params.duplicate)
    {
      Event *copy = talloc_memdup (fleet, event, sizeof *event + event->size);
      copy->packet.payload = copy->bytes;
      copy->queued.time = fleet->now + network_delay (fleet);
      push (fleet, copy);
    }
  if (kq_random_double (&fleet->random) < fleet->params.loss)
    talloc_free (event);
  else
    push (fleet, event);
}

static void
transmit_packet (KqFleet *fleet, EventType type, unsigned node, const KqPacket *packet)
{
  Event *event = new_event (fleet, type, 0, node, packet->payload_size);
  event->packet = *packet;
  if (packet->payload_size > 0)
    memcpy (event->bytes, packet->payload, packet->payload_size);
  event->packet.payload = event->bytes;
  transmit (fleet, event);
}

/* Placement callbacks */

static void
on_send (const KqPeer *to, const uint8_t *bytes, size_t size, void *data)
{
  Agent *agent = data;
  Event *event = new_event (agent->fleet, EVENT_MESSAGE, 0, to->data.port, size);
  memcpy (event->bytes, bytes, size);
  event->from = agent->peer;
  agent->fleet->message_bytes += size;
  transmit (agent->fleet, event);
}

static void
on_deliver (const KqPacket *packet, void *data)
{
  Agent *agent = data;
  KqFleet *fleet = agent->fleet;
  fleet->params.deliver (agent->number, packet, fleet->params.data);
  KqPacket answer = *packet;
  answer.from = agent->peer;
  answer.payload_size = 0;
  transmit_packet (fleet, EVENT_ANSWER, packet->via.port - BALANCER_PORT, &answer);
}

static void
on_forward (const KqPeer *to, const KqPacket *packet, void *data)
{
  Agent *agent = data;
  KqPacket copy = *packet;
  copy.hops++;
  transmit_packet (agent->fleet, EVENT_PACKET, to->data.port, &copy);
}

static void
on_refuse (const KqPacket *packet, KqErrorKind reason, void *data)
{
  Agent *agent = data;
  KqFleet *fleet = agent->fleet;
  if (fleet->params.refused != NULL)
    fleet->params.refused (agent->number, packet, reason, fleet->params.data);
  KqPacket answer = *packet;
  answer.from = agent->peer;
  answer.payload_size = 0;
  answer.reason = reason;
  transmit_packet (fleet, EVENT_REFUSED, packet->via.port - BALANCER_PORT, &answer);
}

static unsigned
on_load (void *data)
{
  Agent *agent = data;
  return agent->fleet->params.load (agent->number, agent->fleet->params.data);
}

static void
on_closed (const KqFlowKey *key, void *data)
{
  (void)key;
  (void)data;
}

/* Membership views */

static void
rebuild_routing (KqFleet *fleet, unsigned node)
{
  View *view = &fleet->views[node];
  KqMember seen[KQ_FLEET_AGENTS_MAX];
  KqServiceView service_view = { .service = &fleet->service, .targets = seen };
  for (unsigned i = 0; i < KQ_FLEET_AGENTS_MAX; i++)
    if (view->versions[i] != 0 && view->members[i].state == KQ_MEMBER_ALIVE)
      seen[service_view.count++] = view->members[i];
  KqRouting *old = view->routing;
  view->routing = kq_routing_new (fleet, &service_view);
  if (node < KQ_FLEET_AGENTS_MAX)
    {
      Agent *agent = &fleet->agents[node];
      for (unsigned i = 0; old != NULL && i < KQ_BUCKETS; i++)
        {
          KqPeer old_candidates[KQ_CANDIDATES_MAX] = { { 0 } };
          KqPeer new_candidates[KQ_CANDIDATES_MAX] = { { 0 } };
          kq_routing_candidates (old, i, old_candidates);
          kq_routing_candidates (view->routing, i, new_candidates);
          if (old_candidates[0].id != new_candidates[0].id)
            agent->previous_home[i] = old_candidates[0].data.port + 1U;
        }
      if (agent->placement != NULL)
        kq_placement_set_view (agent->placement, &service_view, fleet->now);
    }
  talloc_free (old);
}

static bool
node_running (const KqFleet *fleet, unsigned node)
{
  return node >= KQ_FLEET_AGENTS_MAX || fleet->agents[node].alive;
}

static void
schedule_view_update (KqFleet *fleet, unsigned node, unsigned member, KqTime view_delay_max)
{
  KqTime view_delay = (KqTime)kq_random_below (&fleet->random, (uint64_t)view_delay_max + 1);
  Event *event = new_event (fleet, EVENT_VIEW, fleet->now + view_delay, node, 0);
  event->member = fleet->actual_members[member];
  event->version = fleet->actual_versions[member];
  push (fleet, event);
}

static void
disseminate_change (KqFleet *fleet, unsigned member, KqTime view_delay_max)
{
  fleet->actual_versions[member]++;
  for (unsigned node = 0; node < KQ_FLEET_AGENTS_MAX + fleet->params.balancers; node++)
    {
      KqTime view_delay = (KqTime)kq_random_below (&fleet->random, (uint64_t)view_delay_max + 1);
      Event *event =
          new_event (fleet, EVENT_VIEW, fleet->now + (node == member ? 0 : view_delay), node, 0);
      event->member = fleet->actual_members[member];
      event->version = fleet->actual_versions[member];
      push (fleet, event);
    }
}

static void
apply_view_update (KqFleet *fleet, const Event *event)
{
  View *view = &fleet->views[event->node];
  unsigned member = event->member.peer.data.port;
  if (!node_running (fleet, event->node) || event->version <= view->versions[member])
    return;
  view->versions[member] = event->version;
  view->members[member] = event->member;
  rebuild_routing (fleet, event->node);
}

/* Copies the view of a random running agent to a starting node. Delayed updates of all members
 * follow, since that view may be outdated. */
static void
copy_view (KqFleet *fleet, unsigned node)
{
  unsigned start = (unsigned)kq_random_below (&fleet->random, fleet->agent_count);
  for (unsigned i = 0; i < fleet->agent_count; i++)
    if (i != node)
      schedule_view_update (fleet, node, i, fleet->params.view_delay_max);
  for (unsigned i = 0; i < fleet->agent_count; i++)
    {
      unsigned donor = (start + i) % fleet->agent_count;
      if (donor == node || !fleet->agents[donor].alive)
        continue;
      memcpy (fleet->views[node].members, fleet->views[donor].members,
              sizeof fleet->views[node].members);
      memcpy (fleet->views[node].versions, fleet->views[donor].versions,
              sizeof fleet->views[node].versions);
      return;
    }
}

/* Agents */

static void
start_agent (KqFleet *fleet, unsigned number, uint64_t incarnation)
{
  static const KqPlacementOps ops = { .send = on_send,
                                      .deliver = on_deliver,
                                      .forward = on_forward,
                                      .refuse = on_refuse,
                                      .load = on_load,
                                      .closed = on_closed };
  Agent *agent = &fleet->agents[number];
  KqMember *member = &fleet->actual_members[number];
  KqPlacementParams params = fleet->params.placement;
  agent->alive = true;
  agent->fleet = fleet;
  agent->number = number;
  snprintf (member->name, sizeof member->name, "target-%u", number);
  member->role = KQ_ROLE_AGENT;
  member->state = KQ_MEMBER_ALIVE;
  member->phase = KQ_PHASE_SERVING;
  member->service = SERVICE_NUMBER;
  member->peer.id = kq_hash_name (member->name);
  member->peer.incarnation = incarnation;
  member->peer.data.port = (uint16_t)number;
  agent->peer = member->peer;
  params.self = member->peer;
  params.seed = kq_random_next (&fleet->random);
  if (fleet->params.mode == KQ_FLEET_PLACEMENT)
    agent->placement = kq_placement_new (fleet, &params, &ops, agent);
  else
    agent->owned = kq_flow_table_new (fleet, TABLE_CAPACITY, 1, TABLE_IDLE);
}

static void
stop_agent (KqFleet *fleet, unsigned number)
{
  Agent *agent = &fleet->agents[number];
  agent->alive = false;
  TALLOC_FREE (agent->placement);
  TALLOC_FREE (agent->owned);
  memset (agent->previous_home, 0, sizeof agent->previous_home);
  TALLOC_FREE (fleet->views[number].routing);
  memset (&fleet->views[number], 0, sizeof fleet->views[number]);
}

KqFleet *
kq_fleet_new (const void *parent, const KqFleetParams *params)
{
  KqFleet *fleet = talloc_zero (parent, KqFleet);
  fleet->params = *params;
  fleet->queue = kq_event_queue_new (fleet);
  fleet->service.number = SERVICE_NUMBER;
  kq_random_seed (&fleet->random, params->seed);
  for (unsigned i = 0; i < params->balancers; i++)
    fleet->tables[i] = kq_flow_table_new (fleet, TABLE_CAPACITY, 4, TABLE_IDLE);
  return fleet;
}

KqTime
kq_fleet_now (const KqFleet *fleet)
{
  return fleet->now;
}

unsigned
kq_fleet_join (KqFleet *fleet, unsigned weight)
{
  unsigned number = fleet->agent_count++;
  fleet->actual_members[number].weight = (uint16_t)weight;
  start_agent (fleet, number, 1);
  if (fleet->now > 0)
    copy_view (fleet, number);
  disseminate_change (fleet, number, fleet->now == 0 ? 0 : fleet->params.view_delay_max);
  return number;
}

void
kq_fleet_drain (KqFleet *fleet, unsigned agent)
{
  if (fleet->agents[agent].placement != NULL)
    kq_placement_set_draining (fleet->agents[agent].placement, true, fleet->now);
  fleet->actual_members[agent].phase = KQ_PHASE_DRAINING;
  disseminate_change (fleet, agent, fleet->params.view_delay_max);
}

void
kq_fleet_leave (KqFleet *fleet, unsigned agent, KqTime linger)
{
  fleet->actual_members[agent].state = KQ_MEMBER_LEFT;
  disseminate_change (fleet, agent, fleet->params.view_delay_max);
  push (fleet, new_event (fleet, EVENT_STOP, fleet->now + linger, agent, 0));
}

void
kq_fleet_crash (KqFleet *fleet, unsigned agent)
{
  stop_agent (fleet, agent);
  fleet->actual_members[agent].state = KQ_MEMBER_DEAD;
  disseminate_change (fleet, agent, fleet->params.view_delay_max);
}

void
kq_fleet_restart (KqFleet *fleet, unsigned agent)
{
  start_agent (fleet, agent, fleet->actual_members[agent].peer.incarnation + 1);
  copy_view (fleet, agent);
  disseminate_change (fleet, agent, fleet->params.view_delay_max);
}

/* Balancers */

void
kq_fleet_send (KqFleet *fleet, const KqFlowKey *key, uint64_t payload)
{
  unsigned balancer = (unsigned)kq_random_below (&fleet->random, fleet->params.balancers);
  const View *view = &fleet->views[KQ_FLEET_AGENTS_MAX + balancer];
  unsigned bucket = kq_routing_bucket (kq_flow_key_hash (key));
  KqPacket packet = { .type = KQ_PACKET_REQUEST, .key = *key };
  packet.via.port = (uint16_t)(BALANCER_PORT + balancer);
  packet.payload = (const uint8_t *)&payload;
  packet.payload_size = sizeof payload;
  packet.candidate_count = kq_routing_candidates (view->routing, bucket, packet.candidates);
  KqPeer to;
  if (!kq_flow_table_lookup (fleet->tables[balancer], key, fleet->now, &to))
    to = packet.candidates[0];
  if (packet.candidate_count == 0)
    return;
  packet.to = to.incarnation;
  transmit_packet (fleet, EVENT_PACKET, to.data.port, &packet);
}

static void
handle_answer (KqFleet *fleet, const Event *event)
{
  KqFlowTable *table = fleet->tables[event->node];
  const KqPacket *packet = &event->packet;
  if (event->type == EVENT_ANSWER)
    kq_flow_table_store (table, &packet->key, &packet->from, fleet->now);
  else if (event->reason == KQ_ERROR_STALE || packet->reason == KQ_ERROR_STALE)
    kq_flow_table_remove (table, &packet->key, NULL);
}

/* Baselines without the placement code */

static void
handle_packet_baseline (KqFleet *fleet, Agent *agent, const KqPacket *packet)
{
  unsigned bucket = kq_routing_bucket (kq_flow_key_hash (&packet->key));
  unsigned previous_home = agent->previous_home[bucket];
  bool owned = kq_flow_table_lookup (agent->owned, &packet->key, fleet->now, NULL);
  KqPeer to = { .incarnation = packet->to };
  if (!owned && fleet->params.mode == KQ_FLEET_PREVIOUS_HOME && packet->hops == 0 &&
      previous_home != 0 && previous_home - 1 != agent->number &&
      fleet->agents[previous_home - 1].alive)
    {
      KqPacket copy = *packet;
      copy.from = agent->peer;
      to.data.port = (uint16_t)(previous_home - 1);
      on_forward (&to, &copy, agent);
      return;
    }
  if (!owned && fleet->params.mode == KQ_FLEET_PREVIOUS_HOME && packet->hops == 1)
    {
      to = packet->from;
      on_forward (&to, packet, agent);
      return;
    }
  kq_flow_table_store (agent->owned, &packet->key, &agent->peer, fleet->now);
  on_deliver (packet, agent);
}

static void
handle_packet (KqFleet *fleet, const Event *event)
{
  Agent *agent = &fleet->agents[event->node];
  if (agent->placement != NULL)
    kq_placement_packet (agent->placement, &event->packet, fleet->now);
  else
    handle_packet_baseline (fleet, agent, &event->packet);
}

static void
handle_event (KqFleet *fleet, const Event *event)
{
  KqPlacement *placement = fleet->agents[event->node % KQ_FLEET_AGENTS_MAX].placement;
  switch (event->type)
    {
    case EVENT_CALL:
      event->run (event->data);
      break;
    case EVENT_PACKET:
      if (fleet->agents[event->node].alive)
        handle_packet (fleet, event);
      break;
    case EVENT_MESSAGE:
      if (placement != NULL)
        kq_placement_message (placement, &event->from, event->bytes, event->size, fleet->now, NULL);
      break;
    case EVENT_ANSWER:
    case EVENT_REFUSED:
      handle_answer (fleet, event);
      break;
    case EVENT_VIEW:
      apply_view_update (fleet, event);
      break;
    case EVENT_STOP:
      stop_agent (fleet, event->node);
      break;
    }
}

void
kq_fleet_at (KqFleet *fleet, KqTime time, void (*run) (void *data), void *data)
{
  Event *event = new_event (fleet, EVENT_CALL, time, 0, 0);
  event->run = run;
  event->data = data;
  push (fleet, event);
}

static void
tick_all (KqFleet *fleet)
{
  for (unsigned i = 0; i < fleet->agent_count; i++)
    if (fleet->agents[i].placement != NULL)
      kq_placement_tick (fleet->agents[i].placement, fleet->now);
}

void
kq_fleet_run (KqFleet *fleet, KqTime until)
{
  KqTime next_tick = (fleet->now / TICK + 1) * TICK;
  while (fleet->now < until)
    {
      KqTime next = next_tick < until ? next_tick : until;
      const KqQueuedEvent *first = kq_event_queue_first (fleet->queue);
      if (first != NULL && first->time <= next)
        {
          Event *event = (Event *)kq_event_queue_pop (fleet->queue);
          fleet->now = event->queued.time > fleet->now ? event->queued.time : fleet->now;
          handle_event (fleet, event);
          talloc_free (event);
          continue;
        }
      fleet->now = next;
      if (next == next_tick)
        {
          tick_all (fleet);
          next_tick += TICK;
        }
    }
}

bool
kq_fleet_alive (const KqFleet *fleet, unsigned agent)
{
  return fleet->agents[agent].alive;
}

KqPlacementStats
kq_fleet_stats (const KqFleet *fleet, unsigned agent)
{
  if (fleet->agents[agent].placement == NULL)
    return (KqPlacementStats){ 0 };
  return kq_placement_stats (fleet->agents[agent].placement);
}

uint64_t
kq_fleet_message_bytes (const KqFleet *fleet)
{
  return fleet->message_bytes;
}
