/* Stand-in of the processes behind the operators' interface: fixed members, fixed counters. */
#pragma once

#include <tevent.h>

#include "kumquat/operator_api.h"

typedef struct OperatorHost OperatorHost;

/**
 * operator_host_new - starts an operators' interface with four agents of service "scoring" in three
 * failure domains; what the store holds is in force at once on three balancers
 * @listen: address of the interface
 * @store: address of the store
 * @key: (nullable): operator key
 *
 * Return: (owned by @parent) the host, or NULL with @error set.
 */
OperatorHost *operator_host_new (const void *parent, struct tevent_context *ev,
                                 const KqAddress *listen, const KqAddress *store, const char *key,
                                 KqError *error);

uint16_t operator_host_port (const OperatorHost *host);
