/* Services that routes named in earlier configurations. A stream stays with the target that it was
 * opened at, also when its route names another service meanwhile. */
#pragma once

#include "kumquat/internal/route_table.h"

/* Longer than the lifetime of a stream. */
#define KQ_ROUTE_HISTORY_US (64 * KQ_SECOND)

typedef struct KqRouteHistory KqRouteHistory;

/** kq_route_history_new - Return: (owned by @parent) an empty history, or NULL without memory */
KqRouteHistory *kq_route_history_new (const void *parent);

/** kq_route_history_replace - records the services that routes of @before name and those of @after
 * do not; @before is NULL for the first configuration of this process */
void kq_route_history_replace (KqRouteHistory *route_history, const KqRouteTable *before,
                               const KqRouteTable *after, KqTime now);

/** kq_route_history_is_complete - Return: whether this process knows all configurations that were
 * in force anywhere within the lifetime of a stream. That is not so while a configuration is new:
 * it may follow others that this process has not received. */
bool kq_route_history_is_complete (const KqRouteHistory *route_history, KqTime now);

/**
 * kq_route_history_services - lists the services that a stream of @key may belong to
 * @routes: (nullable): the configuration in force
 * @services: (array length=capacity): receives the services, those in force first
 *
 * Return: the number of services written.
 */
unsigned kq_route_history_services (const KqRouteHistory *route_history, const KqRouteTable *routes,
                                    const KqStreamKey *key, KqTime now, uint32_t *services,
                                    unsigned capacity);

/** kq_add_service - appends @service to the @count entries of @services unless it is among them.
 * Return: the new number, which exceeds @capacity when there was no room */
unsigned kq_add_service (uint32_t *services, unsigned count, unsigned capacity, uint32_t service);
