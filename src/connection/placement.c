#include <string.h>
#include <talloc.h>

#include "kumquat/internal/flow_shard.h"
#include "kumquat/placement.h"
#include "kumquat/routing.h"

#define SLOTS_PER_TICK 1024 /* flows looked at for idleness in one tick */

struct KqPlacement
{
  KqPlacementParams params;
  KqPlacementOps ops;
  void *data;
  bool draining;
  bool has_view;
  uint32_t service;
  KqRouting *routing;
  KqFlowShard *flows;
  KqPlacementStats stats;
};

KqPlacement *
kq_placement_new (const void *parent, const KqPlacementParams *params, const KqPlacementOps *ops,
                  void *data)
{
  KqPlacement *placement = talloc_zero (parent, KqPlacement);
  if (placement == NULL)
    return NULL;
  placement->params = *params;
  placement->ops = *ops;
  placement->data = data;
  placement->flows = kq_flow_shard_new (placement, params->flows_max, 0);
  if (placement->flows == NULL)
    TALLOC_FREE (placement);
  return placement;
}

void
kq_placement_set_view (KqPlacement *placement, const KqServiceView *view, KqTime now)
{
  (void)now;
  KqRouting *routing = kq_routing_new (placement, view);
  if (routing == NULL)
    return;
  talloc_free (placement->routing);
  placement->routing = routing;
  placement->service = view->service->number;
  placement->has_view = true;
}

static void
refuse (KqPlacement *placement, const KqPacket *packet, KqErrorKind reason)
{
  placement->stats.flows_refused++;
  placement->ops.refuse (packet, reason, placement->data);
}

static void
admit (KqPlacement *placement, const KqPacket *packet, uint64_t hash, KqTime now)
{
  if (placement->draining)
    {
      refuse (placement, packet, KQ_ERROR_UNAVAILABLE);
      return;
    }
  if (kq_flow_shard_store (placement->flows, &packet->key, hash, &placement->params.self, now) < 0)
    {
      refuse (placement, packet, KQ_ERROR_FULL);
      return;
    }
  placement->stats.flows_admitted++;
  placement->ops.deliver (packet, placement->data);
}

void
kq_placement_packet (KqPlacement *placement, const KqPacket *packet, KqTime now)
{
  if (packet->to != 0 && packet->to != placement->params.self.incarnation)
    {
      refuse (placement, packet, KQ_ERROR_STALE);
      return;
    }
  if (placement->has_view && packet->key.service != placement->service)
    {
      refuse (placement, packet, KQ_ERROR_WRONG_SERVICE);
      return;
    }
  uint64_t hash = kq_flow_key_hash (&packet->key);
  if (kq_flow_shard_touch (placement->flows, &packet->key, hash, now, NULL))
    {
      placement->ops.deliver (packet, placement->data);
      return;
    }
  KqPeer candidates[KQ_CANDIDATES_MAX];
  unsigned count =
      placement->routing == NULL
          ? 0
          : kq_routing_candidates (placement->routing, kq_routing_bucket (hash), candidates);
  if (count == 0)
    refuse (placement, packet, KQ_ERROR_UNAVAILABLE);
  else if (candidates[0].id == placement->params.self.id)
    admit (placement, packet, hash, now);
  else if (packet->hops >= KQ_HOPS_MAX)
    refuse (placement, packet, KQ_ERROR_UNAVAILABLE);
  else
    {
      placement->stats.forwarded++;
      placement->ops.forward (&candidates[0], packet, placement->data);
    }
}

int
kq_placement_message (KqPlacement *placement, const KqPeer *from, const uint8_t *bytes, size_t size,
                      KqTime now, KqError *error)
{
  (void)from;
  (void)bytes;
  (void)size;
  (void)now;
  placement->stats.messages_bad++;
  return kq_error_set (error, KQ_ERROR_INVALID,
                       "unknown placement message; run the same release on every instance");
}

static void
flow_expired (const KqFlowKey *key, void *data)
{
  KqPlacement *placement = data;
  placement->stats.flows_expired++;
  placement->ops.closed (key, placement->data);
}

void
kq_placement_tick (KqPlacement *placement, KqTime now)
{
  kq_flow_shard_expire (placement->flows, now, placement->params.idle_us, SLOTS_PER_TICK,
                        flow_expired, placement);
}

void
kq_placement_touch (KqPlacement *placement, const KqFlowKey *key, KqTime now)
{
  kq_flow_shard_touch (placement->flows, key, kq_flow_key_hash (key), now, NULL);
}

void
kq_placement_close (KqPlacement *placement, const KqFlowKey *key, KqTime now)
{
  (void)now;
  if (kq_flow_shard_remove (placement->flows, key, kq_flow_key_hash (key), NULL))
    placement->ops.closed (key, placement->data);
}

void
kq_placement_set_draining (KqPlacement *placement, bool draining, KqTime now)
{
  (void)now;
  placement->draining = draining;
}

KqPlacementStats
kq_placement_stats (const KqPlacement *placement)
{
  KqPlacementStats stats = placement->stats;
  stats.flows_open = kq_flow_shard_count (placement->flows);
  return stats;
}
