/* Stand-in for the processes behind the operator API, with fixed members and fixed counters. */
#pragma once

#include <tevent.h>

#include "kumquat/operator_api.h"

typedef struct OperatorHost OperatorHost;

/**
 * operator_host_new - starts an operator API with four agents of service "scoring" in three failure
 * domains; documents of the store are in force at once on three balancers
 * @listen: address of the API
 * @store: address of the store
 * @key: (nullable): operator key
 *
 * Return: (owned by @parent) the host, or NULL with @error set.
 */
OperatorHost *operator_host_new (const void *parent, struct tevent_context *ev,
                                 const KqAddress *listen, const KqAddress *store, const char *key,
                                 KqError *error);

uint16_t operator_host_port (const OperatorHost *host);
