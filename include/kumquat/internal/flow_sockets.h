/* One connected UDP socket towards the target for each flow it holds, so that the target tells
 * flows apart by their address as it would without a balancer. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqFlowSockets KqFlowSockets;

/**
 * struct KqFlowSocketsOps - what the sockets tell their process
 * @received: the target sent a datagram on a flow; @via is the balancer of its last request
 */
typedef struct
{
  void (*received) (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data);
} KqFlowSocketsOps;

/** kq_flow_sockets_new - Return: (owned by @parent) a set without sockets, or NULL */
KqFlowSockets *kq_flow_sockets_new (const void *parent, struct tevent_context *ev,
                                    const KqAddress *target, const KqFlowSocketsOps *ops,
                                    void *data);

/** kq_flow_sockets_set_via - remembers the balancer that the flow's last request came through
 *
 * Return: 0, or -1 without memory. */
int kq_flow_sockets_set_via (KqFlowSockets *sockets, const KqFlowKey *key, const KqAddress *via);

/** kq_flow_sockets_via - Return: (borrowed) that balancer, or NULL for an unknown flow */
const KqAddress *kq_flow_sockets_via (const KqFlowSockets *sockets, const KqFlowKey *key);

/** kq_flow_sockets_send - sends to the target; opens the flow's socket at first use
 *
 * Return: 0, or -1 with @error set. */
int kq_flow_sockets_send (KqFlowSockets *sockets, const KqFlowKey *key, const uint8_t *bytes,
                          size_t size, KqError *error);

/** kq_flow_sockets_close - closes what belongs to a flow; does nothing for an unknown one */
void kq_flow_sockets_close (KqFlowSockets *sockets, const KqFlowKey *key);
