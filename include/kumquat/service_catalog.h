/* The newest known configuration of each service. */
#pragma once

#include "kumquat/view.h"

typedef struct KqServiceCatalog KqServiceCatalog;

/** kq_service_catalog_new - Return: (owned by @parent) an empty catalogue, or NULL if out of memory
 */
KqServiceCatalog *kq_service_catalog_new (const void *parent);

/**
 * kq_service_catalog_store - stores a copy of @service if it is newer than the known configuration
 *
 * Return: 1 if it was stored, 0 if it is not newer, -1 if out of memory.
 */
int kq_service_catalog_store (KqServiceCatalog *catalog, const KqService *service);

/** kq_service_catalog_by_number - Return: (borrowed) the service, or NULL */
const KqService *kq_service_catalog_by_number (const KqServiceCatalog *catalog, uint32_t number);

/** kq_service_catalog_by_name - Return: (borrowed) the service that is not removed, or NULL */
const KqService *kq_service_catalog_by_name (const KqServiceCatalog *catalog, const char *name);

/** kq_service_catalog_count - Return: the number of known services, including removed ones */
unsigned kq_service_catalog_count (const KqServiceCatalog *catalog);

/** kq_service_catalog_at - Return: (borrowed) the service at @index, ordered by number */
const KqService *kq_service_catalog_at (const KqServiceCatalog *catalog, unsigned index);

/**
 * kq_service_view_collect - selects the targets of a service from the members
 * @parent: talloc parent of the selected targets
 * @service: (borrowed): the view refers to it
 * @members: (borrowed) (array): live members
 * @view: (out): its targets are owned by @parent
 *
 * Return: 0, or -1 if out of memory.
 */
int kq_service_view_collect (const void *parent, const KqService *service, const KqMember *members,
                             unsigned count, KqServiceView *view);
