/* The event queue is a binary heap ordered by time and then by insertion number, so that a seed
 * gives the same run on every machine. Events of a frozen instance are deferred to the end of the
 * freeze. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "group_network.h"

#define START_US            (1000 * KQ_SECOND)
#define OVERHEAD_BYTES      44 /* IP and UDP headers and the message authentication code */
#define PORT                7946
#define SEEDS               4
#define WALL_CLOCK_START_US UINT64_C (1700000000000000)
#define FROZEN_QUEUE_MAX    4096 /* queue limit of a frozen instance's socket, in datagrams */
#define BULK_DELAYS         4    /* one-way delays of a bulk request, connection setup included */
#define SERVICES_SEEN       64

typedef enum
{
  EVENT_TICK,
  EVENT_DATAGRAM,
  EVENT_REQUEST,
  EVENT_ANSWER
} EventType;

typedef struct
{
  KqTime at;
  uint64_t number;
  EventType type;
  unsigned from;
  unsigned to;
  unsigned generation;
  uint32_t size;
  uint8_t *bytes;
} Event;

typedef struct
{
  GroupNetwork *network;
  unsigned index;
  unsigned generation;
  unsigned partition_id;
  KqGroup *group;
  KqTime frozen_until;
  unsigned queued_datagrams;
  uint64_t received;
  KqTime sending_until;
  size_t peak_memory;
  KqTime receiving_until;
  KqRevision seen[SERVICES_SEEN];
} Node;

struct GroupNetwork
{
  GroupNetworkParams params;
  KqIdentityPool *pool;
  KqRandom random;
  KqTime now;
  uint64_t number;
  Event *events;
  unsigned count;
  unsigned capacity;
  Node *nodes;
  KqGroupStats stopped;
  unsigned reverts;
  uint8_t answer[KQ_BULK_BYTES];
};

static bool
is_earlier (const Event *a, const Event *b)
{
  return a->at != b->at ? a->at < b->at : a->number < b->number;
}

static void
push (GroupNetwork *network, Event event)
{
  event.number = network->number++;
  if (network->count == network->capacity)
    {
      network->capacity = network->capacity * 2 + 1024;
      network->events = talloc_realloc (network, network->events, Event, network->capacity);
    }
  unsigned position = network->count++;
  while (position > 0 && is_earlier (&event, &network->events[(position - 1) / 2]))
    {
      network->events[position] = network->events[(position - 1) / 2];
      position = (position - 1) / 2;
    }
  network->events[position] = event;
}

static Event
pop (GroupNetwork *network)
{
  Event first = network->events[0];
  Event last = network->events[--network->count];
  unsigned position = 0;
  for (;;)
    {
      unsigned child = 2 * position + 1;
      if (child >= network->count)
        break;
      if (child + 1 < network->count &&
          is_earlier (&network->events[child + 1], &network->events[child]))
        child++;
      if (!is_earlier (&network->events[child], &last))
        break;
      network->events[position] = network->events[child];
      position = child;
    }
  network->events[position] = last;
  return first;
}

static KqAddress
address_of (unsigned index)
{
  KqAddress address = { .port = PORT };
  address.ip[10] = 0xff;
  address.ip[11] = 0xff;
  address.ip[12] = 10;
  address.ip[13] = (uint8_t)(index >> 16);
  address.ip[14] = (uint8_t)(index >> 8);
  address.ip[15] = (uint8_t)index;
  return address;
}

static unsigned
index_of (const KqAddress *address)
{
  return (unsigned)address->ip[13] << 16 | (unsigned)address->ip[14] << 8 | address->ip[15];
}

static KqTime
random_delay (GroupNetwork *network)
{
  KqTime least = network->params.delay_us;
  return least + (KqTime)kq_random_below (&network->random, (uint64_t)least + 1);
}

/* Occupies a link for a message that reaches it at @at. Return: when the message has passed. */
static KqTime
pass_link (const GroupNetwork *network, KqTime *until, KqTime at, size_t size)
{
  unsigned rate = network->params.link_bytes_per_s;
  if (rate == 0)
    return at;
  KqTime start = *until > at ? *until : at;
  *until = start + (KqTime)((size + OVERHEAD_BYTES) * KQ_SECOND / rate);
  return *until;
}

static void
schedule_delivery (GroupNetwork *network, EventType type, KqTime delay, unsigned from, unsigned to,
                   const uint8_t *bytes, size_t size)
{
  Event event = { .at = network->now + delay, .type = type, .from = from, .to = to };
  if (to >= network->params.nodes ||
      network->nodes[from].partition_id != network->nodes[to].partition_id)
    return;
  KqTime sent = pass_link (network, &network->nodes[from].sending_until, network->now, size);
  event.at = pass_link (network, &network->nodes[to].receiving_until, sent + delay, size);
  event.generation = network->nodes[to].generation;
  event.size = (uint32_t)size;
  event.bytes = malloc (size + 1);
  memcpy (event.bytes, bytes, size);
  push (network, event);
}

static void
node_send (const KqAddress *to, const uint8_t *bytes, size_t size, void *data)
{
  Node *node = data;
  GroupNetwork *network = node->network;
  KqTime delay = random_delay (network);
  if (kq_random_double (&network->random) < network->params.loss)
    return;
  schedule_delivery (network, EVENT_DATAGRAM, delay, node->index, index_of (to), bytes, size);
}

static void
node_send_request (const KqAddress *to, const uint8_t *bytes, size_t size, void *data)
{
  Node *node = data;
  KqTime delay = BULK_DELAYS * random_delay (node->network);
  schedule_delivery (node->network, EVENT_REQUEST, delay, node->index, index_of (to), bytes, size);
}

static void
node_document_changed (const KqDocument *document, void *data)
{
  Node *node = data;
  KqRevision *seen = &node->seen[document->service % SERVICES_SEEN];
  size_t memory = node->group == NULL ? 0 : talloc_total_size (node->group);
  if (memory > node->peak_memory)
    node->peak_memory = memory;
  if (kq_revision_compare (document->revision, *seen) < 0)
    node->network->reverts++;
  *seen = document->revision;
}

static KqMember
member_of (const GroupNetwork *network, unsigned index)
{
  const GroupNetworkParams *params = &network->params;
  KqMember member = { .weight = 100, .phase = KQ_PHASE_SERVING, .control = address_of (index) };
  snprintf (member.name, sizeof member.name, "instance-%05u", index);
  snprintf (member.failure_domain, sizeof member.failure_domain, "region-1-domain-%02u",
            index % params->domains);
  member.peer.data = member.control;
  member.peer.data.port = PORT + 1;
  member.peer.id = kq_hash_name (member.name);
  member.peer.incarnation = WALL_CLOCK_START_US + (uint64_t)network->now;
  member.role = index < params->balancers ? KQ_ROLE_BALANCER : KQ_ROLE_AGENT;
  if (member.role == KQ_ROLE_AGENT)
    member.service = 1 + index % params->services;
  return member;
}

static KqGroup *
new_group (GroupNetwork *network, unsigned index)
{
  static const KqGroupOps ops = { .send = node_send,
                                  .send_request = node_send_request,
                                  .document_changed = node_document_changed };
  const GroupNetworkParams *params = &network->params;
  KqGroupParams group = { .self = member_of (network, index),
                          .seed_count = SEEDS,
                          .probe_interval_us = params->probe_interval_us,
                          .suspicion_us = params->suspicion_us,
                          .budget_bytes_per_s = params->budget_bytes_per_s,
                          .overhead_bytes = OVERHEAD_BYTES,
                          .common_document = params->common_document,
                          .random_seed = params->seed + network->nodes[index].generation,
                          .no_refutation = params->no_refutation,
                          .no_suspicion = params->no_suspicion };
  for (unsigned i = 0; i < SEEDS; i++)
    group.seeds[i] = address_of (i);
  return kq_group_new (network, &group, network->pool, &ops, &network->nodes[index], network->now);
}

static void
schedule_tick (GroupNetwork *network, unsigned index, KqTime delay)
{
  Event event = { .at = network->now + delay, .type = EVENT_TICK, .to = index };
  event.generation = network->nodes[index].generation;
  push (network, event);
}

GroupNetworkParams
group_network_defaults (unsigned nodes, uint64_t seed)
{
  GroupNetworkParams params = { .nodes = nodes,
                                .balancers = nodes / 11 + 1,
                                .domains = 3,
                                .services = nodes / 5 + 1,
                                .delay_us = KQ_MS / 2,
                                .probe_interval_us = 200 * KQ_MS,
                                .suspicion_us = 2500 * KQ_MS,
                                .budget_bytes_per_s = 21000,
                                .seed = seed };
  return params;
}

static int
close_network (GroupNetwork *network)
{
  for (unsigned i = 0; i < network->params.nodes; i++)
    talloc_free (network->nodes[i].group);
  while (network->count > 0)
    free (pop (network).bytes);
  return 0;
}

GroupNetwork *
group_network_new (const void *parent, const GroupNetworkParams *params)
{
  GroupNetwork *network = talloc_zero (parent, GroupNetwork);
  network->params = *params;
  network->now = START_US;
  network->pool = kq_identity_pool_new (network);
  network->nodes = talloc_zero_array (network, Node, params->nodes);
  kq_random_seed (&network->random, params->seed);
  talloc_set_destructor (network, close_network);
  for (unsigned i = 0; i < params->nodes; i++)
    {
      Node *node = &network->nodes[i];
      node->network = network;
      node->index = i;
      node->group = new_group (network, i);
      schedule_tick (network, i, (KqTime)kq_random_below (&network->random, KQ_GROUP_TICK_US));
    }
  for (unsigned i = 0; i < params->nodes; i++)
    {
      KqMember member = member_of (network, i);
      kq_group_preload (network->nodes[0].group, &member, 0);
    }
  for (unsigned i = 1; i < params->nodes; i++)
    kq_group_preload_copy (network->nodes[i].group, network->nodes[0].group);
  return network;
}

static void
deliver (GroupNetwork *network, Node *node, const Event *event)
{
  node->received += event->size + OVERHEAD_BYTES;
  if (event->type == EVENT_DATAGRAM)
    kq_group_handle_datagram (node->group, event->bytes, event->size, network->now);
  else if (event->type == EVENT_ANSWER)
    kq_group_handle_answer (node->group, event->bytes, event->size, network->now);
  else
    {
      int size = kq_group_handle_request (node->group, event->bytes, event->size, network->answer,
                                          sizeof network->answer, network->now);
      if (size > 0)
        schedule_delivery (network, EVENT_ANSWER, random_delay (network), node->index, event->from,
                           network->answer, (size_t)size);
    }
}

static void
handle_event (GroupNetwork *network, Event event)
{
  Node *node = &network->nodes[event.to];
  bool stopped = node->group == NULL || node->generation != event.generation;
  bool partitioned =
      event.type != EVENT_TICK && network->nodes[event.from].partition_id != node->partition_id;
  if (!stopped && !partitioned && node->frozen_until > network->now)
    {
      if (event.type != EVENT_TICK && ++node->queued_datagrams > FROZEN_QUEUE_MAX)
        stopped = true;
      else
        {
          event.at = node->frozen_until;
          push (network, event);
          return;
        }
    }
  node->queued_datagrams = 0;
  if (!stopped && event.type == EVENT_TICK)
    {
      kq_group_tick (node->group, network->now);
      schedule_tick (network, node->index, KQ_GROUP_TICK_US);
    }
  else if (!stopped && !partitioned)
    deliver (network, node, &event);
  free (event.bytes);
}

void
group_network_run (GroupNetwork *network, KqTime duration)
{
  KqTime end = network->now + duration;
  while (network->count > 0 && network->events[0].at <= end)
    {
      Event event = pop (network);
      network->now = event.at;
      handle_event (network, event);
    }
  network->now = end;
}

KqTime
group_network_now (const GroupNetwork *network)
{
  return network->now;
}

KqGroup *
group_network_node (const GroupNetwork *network, unsigned index)
{
  return network->nodes[index].group;
}

uint64_t
group_network_id (const GroupNetwork *network, unsigned index)
{
  return member_of (network, index).peer.id;
}

unsigned
group_network_domain (const GroupNetwork *network, unsigned index)
{
  return index % network->params.domains;
}

/* Adds the counters: all fields before the gauges, which begin with gossip_queued. */
static void
add_stats (KqGroupStats *sum, const KqGroupStats *stats)
{
  uint64_t *to = &sum->datagrams_sent;
  const uint64_t *from = &stats->datagrams_sent;
  for (size_t i = 0; i < offsetof (KqGroupStats, gossip_queued) / sizeof *to; i++)
    to[i] += from[i];
  sum->gossip_queued += stats->gossip_queued;
  sum->suspected += stats->suspected;
}

void
group_network_stop (GroupNetwork *network, unsigned index)
{
  Node *node = &network->nodes[index];
  if (node->group == NULL)
    return;
  KqGroupStats stats = kq_group_stats (node->group);
  stats.gossip_queued = 0;
  stats.suspected = 0;
  add_stats (&network->stopped, &stats);
  talloc_free (node->group);
  node->group = NULL;
  node->generation++;
}

void
group_network_start (GroupNetwork *network, unsigned index)
{
  Node *node = &network->nodes[index];
  node->frozen_until = 0;
  memset (node->seen, 0, sizeof node->seen);
  node->group = new_group (network, index);
  schedule_tick (network, index, (KqTime)kq_random_below (&network->random, KQ_GROUP_TICK_US));
}

void
group_network_freeze (GroupNetwork *network, unsigned index, KqTime duration)
{
  network->nodes[index].frozen_until = network->now + duration;
}

void
group_network_set_partition (GroupNetwork *network, unsigned index, unsigned partition_id)
{
  network->nodes[index].partition_id = partition_id;
}

void
group_network_set_loss (GroupNetwork *network, double loss)
{
  network->params.loss = loss;
}

unsigned
group_network_count (const GroupNetwork *network, unsigned index, KqMemberState state)
{
  uint64_t id = group_network_id (network, index);
  unsigned count = 0;
  for (unsigned i = 0; i < network->params.nodes; i++)
    {
      KqGroup *group = network->nodes[i].group;
      count += group != NULL && i != index && kq_group_member_state (group, id) == state;
    }
  return count;
}

unsigned
group_network_running (const GroupNetwork *network)
{
  unsigned running = 0;
  for (unsigned i = 0; i < network->params.nodes; i++)
    running += network->nodes[i].group != NULL;
  return running;
}

KqGroupStats
group_network_sum (const GroupNetwork *network)
{
  KqGroupStats sum = network->stopped;
  for (unsigned i = 0; i < network->params.nodes; i++)
    {
      if (network->nodes[i].group == NULL)
        continue;
      KqGroupStats stats = kq_group_stats (network->nodes[i].group);
      add_stats (&sum, &stats);
    }
  return sum;
}

uint64_t
group_network_received (const GroupNetwork *network, unsigned index)
{
  return network->nodes[index].received;
}

size_t
group_network_peak_memory (const GroupNetwork *network, unsigned index)
{
  return network->nodes[index].peak_memory;
}

unsigned
group_network_reverts (const GroupNetwork *network)
{
  return network->reverts;
}
