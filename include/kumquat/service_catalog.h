/* The newest configuration document of each service that this process knows. */
#pragma once

#include "kumquat/view.h"

typedef struct KqServiceCatalog KqServiceCatalog;

/** kq_service_catalog_new - Return: (owned by @parent) an empty catalogue, or NULL */
KqServiceCatalog *kq_service_catalog_new (const void *parent);

/**
 * kq_service_catalog_store - takes a service's configuration; copies @service
 *
 * Return: 1 when it is newer than the one known, 0 when it is not, -1 without memory.
 */
int kq_service_catalog_store (KqServiceCatalog *catalog, const KqService *service);

/** kq_service_catalog_by_number - Return: (borrowed) the service, or NULL */
const KqService *kq_service_catalog_by_number (const KqServiceCatalog *catalog, uint32_t number);

/** kq_service_catalog_by_name - Return: (borrowed) the service that is not removed, or NULL */
const KqService *kq_service_catalog_by_name (const KqServiceCatalog *catalog, const char *name);

/** kq_service_catalog_count - Return: how many services are known */
unsigned kq_service_catalog_count (const KqServiceCatalog *catalog);

/** kq_service_catalog_at - Return: (borrowed) the service at @index, ordered by number */
const KqService *kq_service_catalog_at (const KqServiceCatalog *catalog, unsigned index);

/**
 * kq_service_view_collect - picks the targets of a service from the members
 * @parent: talloc parent of the picked targets
 * @service: (borrowed): the view refers to it
 * @members: (borrowed) (array): live members
 * @view: (out): its targets are owned by @parent
 *
 * Return: 0, or -1 without memory.
 */
int kq_service_view_collect (const void *parent, const KqService *service, const KqMember *members,
                             unsigned count, KqServiceView *view);
