/* Check of a configuration of routes before it is put in force. */
#pragma once

#include "kumquat/internal/route_table.h"

#define KQ_ROUTE_FINDING_BYTES 160

/**
 * enum KqRouteFindingKind - what a finding is about
 * @KQ_ROUTE_FINDING_ERROR: balancers would not put the configuration in force, or no stream of the
 *   route could be served
 * @KQ_ROUTE_FINDING_UNREACHABLE: an entry that no stream can match
 * @KQ_ROUTE_FINDING_CONTRADICTION: limits that contradict each other
 * @KQ_ROUTE_FINDING_CHANGE: difference from the configuration in force
 */
typedef enum
{
  KQ_ROUTE_FINDING_ERROR,
  KQ_ROUTE_FINDING_UNREACHABLE,
  KQ_ROUTE_FINDING_CONTRADICTION,
  KQ_ROUTE_FINDING_CHANGE
} KqRouteFindingKind;

/**
 * struct KqRouteFinding - one finding
 * @ip: address of the route, 0 when the finding concerns the whole configuration
 * @port: port of the route
 * @text: what was found, and what to do about it
 */
typedef struct
{
  KqRouteFindingKind kind;
  uint32_t ip;
  uint16_t port;
  char text[KQ_ROUTE_FINDING_BYTES];
} KqRouteFinding;

/**
 * kq_route_check - reports what is wrong with @table, and what differs from @in_force
 * @in_force: (nullable): the configuration in force; both tables are sorted
 * @found: called for each finding, in the order of the routes
 */
void kq_route_check (const KqRouteTable *table, const KqRouteTable *in_force,
                     void (*found) (const KqRouteFinding *finding, void *data), void *data);

/** kq_route_finding_kind_name - Return: (static) the kind in lower case */
const char *kq_route_finding_kind_name (KqRouteFindingKind kind);
