#include <string.h>
#include <talloc.h>

#include "kumquat/internal/test_switch.h"
#include "kumquat/service_catalog.h"

struct KqServiceCatalog
{
  KqService **services; /* ordered by number */
  unsigned count;
};

KqServiceCatalog *
kq_service_catalog_new (const void *parent)
{
  return talloc_zero (parent, KqServiceCatalog);
}

static unsigned
position_of (const KqServiceCatalog *catalog, uint32_t number)
{
  unsigned low = 0;
  unsigned high = catalog->count;
  while (low < high)
    {
      unsigned middle = (low + high) / 2;
      if (catalog->services[middle]->number < number)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static int
insert (KqServiceCatalog *catalog, unsigned position, const KqService *service)
{
  KqService **grown = talloc_realloc (catalog, catalog->services, KqService *, catalog->count + 1);
  if (grown == NULL)
    return -1;
  catalog->services = grown;
  KqService *copy = talloc_memdup (catalog, service, sizeof *service);
  if (copy == NULL)
    return -1;
  for (unsigned i = catalog->count; i > position; i--)
    grown[i] = grown[i - 1];
  grown[position] = copy;
  catalog->count++;
  return 1;
}

int
kq_service_catalog_store (KqServiceCatalog *catalog, const KqService *service)
{
  unsigned position = position_of (catalog, service->number);
  if (position == catalog->count || catalog->services[position]->number != service->number)
    return insert (catalog, position, service);
  KqService *known = catalog->services[position];
  bool older = kq_revision_compare (service->revision, known->revision) <= 0;
  if (older && !kq_test_is_disabled ("revision"))
    return 0;
  *known = *service;
  return 1;
}

const KqService *
kq_service_catalog_by_number (const KqServiceCatalog *catalog, uint32_t number)
{
  unsigned position = position_of (catalog, number);
  if (position == catalog->count || catalog->services[position]->number != number)
    return NULL;
  return catalog->services[position];
}

const KqService *
kq_service_catalog_by_name (const KqServiceCatalog *catalog, const char *name)
{
  for (unsigned i = 0; i < catalog->count; i++)
    if (!catalog->services[i]->removed && strcmp (catalog->services[i]->name, name) == 0)
      return catalog->services[i];
  return NULL;
}

unsigned
kq_service_catalog_count (const KqServiceCatalog *catalog)
{
  return catalog->count;
}

const KqService *
kq_service_catalog_at (const KqServiceCatalog *catalog, unsigned index)
{
  return catalog->services[index];
}

int
kq_service_view_collect (const void *parent, const KqService *service, const KqMember *members,
                         unsigned count, KqServiceView *view)
{
  KqMember *targets = talloc_array (parent, KqMember, count == 0 ? 1 : count);
  if (targets == NULL)
    return -1;
  unsigned used = 0;
  for (unsigned i = 0; i < count; i++)
    if (members[i].role == KQ_ROLE_AGENT && members[i].service == service->number)
      {
        targets[used] = members[i];
        targets[used].weight = (uint16_t)kq_service_weight (service, &members[i]);
        used++;
      }
  view->service = service;
  view->targets = targets;
  view->count = used;
  return 0;
}
