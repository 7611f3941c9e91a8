/* One connected UDP socket to the target for each flow that it owns, so that the target
 * distinguishes flows by their address as it would without a balancer. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqFlowSockets KqFlowSockets;

/**
 * struct KqFlowSocketsOps - callbacks of the flow sockets
 * @received: the target sent a datagram on the flow @key
 */
typedef struct
{
  void (*received) (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data);
} KqFlowSocketsOps;

/** kq_flow_sockets_new - Return: (owned by @parent) an empty set of sockets, or NULL */
KqFlowSockets *kq_flow_sockets_new (const void *parent, struct tevent_context *ev,
                                    const KqAddress *target, const KqFlowSocketsOps *ops,
                                    void *data);

/**
 * kq_flow_sockets_set_via - records the balancer through which the flow's last request came
 *
 * Return: 0, or -1 without memory.
 */
int kq_flow_sockets_set_via (KqFlowSockets *sockets, const KqFlowKey *key, const KqAddress *via);

/** kq_flow_sockets_via - Return: (borrowed) that balancer, or NULL for an unknown flow */
const KqAddress *kq_flow_sockets_via (const KqFlowSockets *sockets, const KqFlowKey *key);

/**
 * kq_flow_sockets_send - sends to the target; opens the flow's socket on first use
 *
 * Return: 0, or -1 with @error set.
 */
int kq_flow_sockets_send (KqFlowSockets *sockets, const KqFlowKey *key, const uint8_t *bytes,
                          size_t size, KqError *error);

/** kq_flow_sockets_close - closes the flow's socket and frees its state; ignores an unknown flow */
void kq_flow_sockets_close (KqFlowSockets *sockets, const KqFlowKey *key);
