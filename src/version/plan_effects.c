/* Computes the effects of a service's change on its targets, flows and failure domains. */

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/plan_parts.h"
#include "kumquat/routing.h"

#define NOTE_BYTES               256
#define IN_FORCE_LIMIT_MS        9000 /* upper bound until a confirmed change is in force everywhere */
#define CAPACITY_WARNING_PERCENT 50 /* a plan warns when a smaller share of the slots remains */

/**
 * struct Assignment - targets and buckets of the service before or after the change
 * @targets: (array): its targets with their weights
 * @count: length of @targets
 * @homes: (array): id of each bucket's home; 0 when it has none
 */
typedef struct
{
  KqMember *targets;
  unsigned count;
  uint64_t homes[KQ_BUCKETS];
} Assignment;

void
kq_plan_warn (KqPlanNotes *notes, const char *service, const char *format, ...)
{
  char text[NOTE_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  json_array_append_new (notes->warnings,
                         json_pack ("{s:s, s:s}", "service", service, "what", text));
}

void
kq_plan_refuse (KqPlanNotes *notes, const char *service, const char *what, const char *remedy)
{
  json_array_append_new (notes->refusals, json_pack ("{s:s, s:s, s:s}", "service", service, "what",
                                                     what, "remedy", remedy));
}

static bool
accepts_flows (const KqService *service, const KqMember *target)
{
  return !service->removed && target->phase == KQ_PHASE_SERVING &&
         target->state <= KQ_MEMBER_SUSPECT && kq_service_admits (service, target);
}

/* An agent announces draining while the configuration denies its target. A change that admits the
 * target again makes it serve, so its effects are computed with the serving phase. */
static void
set_admitted_phase (const KqService *denying, const KqService *service, KqMember *target)
{
  if (denying != NULL && target->phase == KQ_PHASE_DRAINING &&
      !kq_service_admits (denying, target) && kq_service_admits (service, target))
    target->phase = KQ_PHASE_SERVING;
}

static void
compute_assignment (const void *parent, const KqPlanInput *input, const KqService *denying,
                    const KqService *service, Assignment *assignment)
{
  assignment->targets = talloc_array (parent, KqMember, input->member_count + 1);
  for (unsigned i = 0; i < input->member_count; i++)
    {
      const KqMember *member = &input->members[i];
      if (member->role != KQ_ROLE_AGENT || member->service != service->number)
        continue;
      assignment->targets[assignment->count] = *member;
      set_admitted_phase (denying, service, &assignment->targets[assignment->count]);
      assignment->targets[assignment->count].weight = (uint16_t)kq_service_weight (service, member);
      assignment->count++;
    }
  KqServiceView view = { .service = service,
                         .targets = assignment->targets,
                         .count = assignment->count };
  KqRouting *routing = kq_routing_new (parent, &view);
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    {
      KqPeer candidates[KQ_CANDIDATES_MAX];
      unsigned found = kq_routing_candidates (routing, i, candidates);
      assignment->homes[i] = found == 0 ? 0 : candidates[0].id;
    }
}

static unsigned
count_buckets (const Assignment *assignment, uint64_t id)
{
  unsigned count = 0;
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    count += assignment->homes[i] == id;
  return count;
}

static const KqTargetWorkload *
find_workload (const KqPlanInput *input, const char *name)
{
  for (unsigned i = 0; i < input->workload_count; i++)
    if (strcmp (input->workload[i].name, name) == 0)
      return &input->workload[i];
  return NULL;
}

static const char *
effect_name (bool before, bool after)
{
  if (before && !after)
    return "drains";
  if (!before && after)
    return "joins";
  return after ? "stays" : "takes no new flows";
}

static json_t *
targets_json (const KqPlanInput *input, const KqPlanChange *change, const Assignment *before,
              const Assignment *after)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < after->count; i++)
    {
      const KqMember *target = &after->targets[i];
      const KqTargetWorkload *workload = find_workload (input, target->name);
      bool accepted_before = change->before != NULL && accepts_flows (change->before, target);
      json_t *item = json_pack (
          "{s:s, s:s, s:s, s:i, s:i, s:i}", "name", target->name, "failure_domain",
          target->failure_domain, "effect",
          effect_name (accepted_before, accepts_flows (&change->after, target)), "buckets_before",
          (int)count_buckets (before, target->peer.id), "buckets_after",
          (int)count_buckets (after, target->peer.id), "weight", (int)target->weight);
      json_object_set_new (item, "flows",
                           workload == NULL ? json_null ()
                                            : json_integer ((json_int_t)workload->flows));
      json_object_set_new (item, "requests",
                           workload == NULL ? json_null ()
                                            : json_integer ((json_int_t)workload->running +
                                                            (json_int_t)workload->waiting));
      json_array_append_new (list, item);
    }
  return list;
}

static unsigned
count_slots (const Assignment *assignment, const KqService *service, const char *failure_domain)
{
  unsigned slots = 0;
  for (unsigned i = 0; i < assignment->count; i++)
    {
      const KqMember *target = &assignment->targets[i];
      if ((failure_domain == NULL || strcmp (target->failure_domain, failure_domain) == 0) &&
          accepts_flows (service, target))
        slots += service->slots;
    }
  return slots;
}

static bool
is_first_of_domain (const Assignment *assignment, unsigned index)
{
  for (unsigned i = 0; i < index; i++)
    if (strcmp (assignment->targets[i].failure_domain, assignment->targets[index].failure_domain) ==
        0)
      return false;
  return true;
}

static json_t *
capacity_json (const KqPlanChange *change, const Assignment *before, const Assignment *after,
               KqPlanNotes *notes)
{
  static const KqService none = { .removed = true };
  const KqService *old_service = change->before == NULL ? &none : change->before;
  json_t *list = json_array ();
  for (unsigned i = 0; i < after->count; i++)
    {
      const char *domain = after->targets[i].failure_domain;
      if (!is_first_of_domain (after, i))
        continue;
      unsigned old_slots = count_slots (before, old_service, domain);
      unsigned new_slots = count_slots (after, &change->after, domain);
      json_array_append_new (list,
                             json_pack ("{s:s, s:i, s:i}", "failure_domain", domain, "slots_before",
                                        (int)old_slots, "slots_after", (int)new_slots));
      if (old_slots > 0 && new_slots == 0 && !change->after.removed)
        kq_plan_warn (notes, change->after.name, "failure domain %s is left with no capacity",
                      domain);
    }
  return list;
}

/**
 * struct WorkloadTotals - load of a service's targets, summed over the agents that answered
 * @max_flows: flows of the target with the most flows
 * @unknown_targets: targets whose agent did not answer
 */
typedef struct
{
  uint64_t flows;
  uint64_t running;
  uint64_t waiting;
  uint64_t max_flows;
  unsigned unknown_targets;
} WorkloadTotals;

static WorkloadTotals
sum_workloads (const KqPlanInput *input, const Assignment *assignment)
{
  WorkloadTotals totals = { 0 };
  for (unsigned i = 0; i < assignment->count; i++)
    {
      const KqTargetWorkload *workload = find_workload (input, assignment->targets[i].name);
      if (workload == NULL)
        {
          totals.unknown_targets++;
          continue;
        }
      totals.flows += workload->flows;
      totals.running += workload->running;
      totals.waiting += workload->waiting;
      if (workload->flows > totals.max_flows)
        totals.max_flows = workload->flows;
    }
  return totals;
}

static void
check_open_flows (const KqPlanChange *change, const WorkloadTotals *totals, KqPlanNotes *notes)
{
  const KqService *before = change->before;
  const KqService *after = &change->after;
  if (totals->flows == 0 && totals->unknown_targets == 0)
    return;
  if (after->removed)
    kq_plan_refuse (notes, after->name, "removing the service would break its open flows",
                    "let its callers leave, then plan again when every target has 0 flows");
  else if (before->port != after->port)
    kq_plan_refuse (notes, after->name, "another port would break the service's open flows",
                    "create a second service on the new port, let callers move, then remove this "
                    "one");
  else if (before->protocol != after->protocol)
    kq_plan_refuse (notes, after->name, "another protocol would change the promises of open flows",
                    "create a second service with the new protocol, let callers move, then remove "
                    "this one");
}

static void
check_capacity (const KqPlanChange *change, const Assignment *before, const Assignment *after,
                const WorkloadTotals *totals, KqPlanNotes *notes)
{
  const KqService *service = &change->after;
  unsigned old_slots = count_slots (before, change->before, NULL);
  unsigned new_slots = count_slots (after, service, NULL);
  if (service->removed)
    return;
  if (old_slots > 0 && new_slots == 0)
    kq_plan_refuse (notes, service->name, "no target would be left to take new flows",
                    "let another target join first, or drain fewer at once");
  else if ((uint64_t)new_slots * 100 < (uint64_t)old_slots * CAPACITY_WARNING_PERCENT)
    kq_plan_warn (notes, service->name, "capacity falls from %u to %u slots", old_slots, new_slots);
  if (new_slots > 0 && totals->running > new_slots)
    kq_plan_warn (notes, service->name,
                  "%" PRIu64 " requests run now and %u slots stay: new ones will wait",
                  totals->running, new_slots);
  if (totals->max_flows > service->connections)
    kq_plan_warn (notes, service->name,
                  "a target holds %" PRIu64 " flows, above connections %" PRIu32
                  ": they stay, new ones are refused there",
                  totals->max_flows, service->connections);
  if (totals->unknown_targets > 0)
    kq_plan_warn (notes, service->name, "%u agents did not tell their flows",
                  totals->unknown_targets);
}

/* Return: the longest drain limit in milliseconds; 0 if nothing drains, -1 if one is unlimited. */
static int64_t
check_drains (const KqPlanInput *input, const KqPlanChange *change, const Assignment *after,
              KqPlanNotes *notes)
{
  int64_t longest_ms = 0;
  for (unsigned i = 0; i < after->count; i++)
    {
      const KqMember *target = &after->targets[i];
      const KqTargetWorkload *workload = find_workload (input, target->name);
      if (!accepts_flows (change->before, target) || accepts_flows (&change->after, target) ||
          change->after.removed)
        continue;
      uint32_t limit_ms = kq_service_drain_limit_ms (&change->after, target);
      if (limit_ms == 0)
        {
          longest_ms = -1;
          continue;
        }
      if (longest_ms >= 0 && limit_ms > longest_ms)
        longest_ms = limit_ms;
      if (limit_ms < change->after.deadline_ms)
        kq_plan_refuse (notes, change->after.name,
                        "the drain limit is shorter than the deadline of requests in progress",
                        "use a drain limit of at least deadline_ms");
      else if (workload != NULL && workload->flows > 0)
        kq_plan_warn (notes, change->after.name,
                      "%s: flows still open after %" PRIu32 " ms are closed; %" PRIu64
                      " are open now",
                      target->name, limit_ms, workload->flows);
    }
  return longest_ms;
}

static unsigned
count_moved_buckets (const Assignment *before, const Assignment *after)
{
  unsigned moved = 0;
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    moved += before->homes[i] != 0 && before->homes[i] != after->homes[i];
  return moved;
}

json_t *
kq_plan_effects (const KqPlanInput *input, const KqPlanChange *change, KqPlanNotes *notes)
{
  void *scratch = talloc_new (NULL);
  Assignment *before = talloc_zero (scratch, Assignment);
  Assignment *after = talloc_zero (scratch, Assignment);
  int64_t drain_ms = 0;
  if (change->before != NULL)
    compute_assignment (scratch, input, NULL, change->before, before);
  compute_assignment (scratch, input, change->before == NULL ? NULL : change->before,
                      &change->after, after);
  WorkloadTotals totals = sum_workloads (input, after);
  unsigned moved = count_moved_buckets (before, after);
  if (change->before != NULL)
    {
      check_open_flows (change, &totals, notes);
      check_capacity (change, before, after, &totals, notes);
      drain_ms = check_drains (input, change, after, notes);
    }
  json_t *root = json_pack (
      "{s:s, s:i, s:I, s:I, s:I, s:i, s:o, s:o}", "service", change->after.name, "buckets_moved",
      (int)moved, "flows_open", (json_int_t)totals.flows, "flows_handed_over",
      (json_int_t)(totals.flows * moved / KQ_BUCKETS), "requests_in_progress",
      (json_int_t)totals.running + (json_int_t)totals.waiting, "in_force_within_ms",
      IN_FORCE_LIMIT_MS, "targets", targets_json (input, change, before, after), "capacity",
      capacity_json (change, before, after, notes));
  json_object_set_new (root, "drain_within_ms",
                       drain_ms < 0 ? json_null () : json_integer ((json_int_t)drain_ms));
  talloc_free (scratch);
  return root;
}
