#include <string.h>

#include "kumquat/internal/ctl_impl.h"

static void
print_count (FILE *out, const json_t *object, const char *key, const char *unit)
{
  const json_t *value = json_object_get (object, key);
  if (json_is_integer (value))
    fprintf (out, ", %" JSON_INTEGER_FORMAT " %s", json_integer_value (value), unit);
  else
    fprintf (out, ", %s unknown", unit);
}

static void
print_change (FILE *out, const json_t *change)
{
  size_t index;
  const json_t *field;
  fprintf (out, "%s service %s, number %.0f, base revision %.0f\n",
           kq_ctl_json_text (change, "what"), kq_ctl_json_text (change, "service"),
           kq_ctl_json_number (change, "number"), kq_ctl_json_number (change, "base_revision"));
  json_array_foreach (json_object_get (change, "fields"), index, field)
  {
    fprintf (out, "  %s: '%s' -> '%s'\n", kq_ctl_json_text (field, "field"),
             kq_ctl_json_text (field, "from"), kq_ctl_json_text (field, "to"));
  }
}

static void
print_effect (FILE *out, const json_t *effect)
{
  size_t index;
  const json_t *item;
  fprintf (out,
           "effect on service %s: %.0f buckets move, %.0f flows open, %.0f handed over, %.0f "
           "requests in progress\n",
           kq_ctl_json_text (effect, "service"), kq_ctl_json_number (effect, "buckets_moved"),
           kq_ctl_json_number (effect, "flows_open"),
           kq_ctl_json_number (effect, "flows_handed_over"),
           kq_ctl_json_number (effect, "requests_in_progress"));
  json_array_foreach (json_object_get (effect, "targets"), index, item)
  {
    fprintf (out, "  target %s in %s: %s, buckets %.0f -> %.0f", kq_ctl_json_text (item, "name"),
             kq_ctl_json_text (item, "failure_domain"), kq_ctl_json_text (item, "effect"),
             kq_ctl_json_number (item, "buckets_before"),
             kq_ctl_json_number (item, "buckets_after"));
    print_count (out, item, "flows", "flows");
    print_count (out, item, "requests", "requests");
    fputc ('\n', out);
  }
  json_array_foreach (json_object_get (effect, "capacity"), index, item)
  {
    fprintf (out, "  capacity of %s: %.0f -> %.0f slots\n",
             kq_ctl_json_text (item, "failure_domain"), kq_ctl_json_number (item, "slots_before"),
             kq_ctl_json_number (item, "slots_after"));
  }
  fprintf (out, "  in force within %.0f ms", kq_ctl_json_number (effect, "in_force_within_ms"));
  if (json_is_null (json_object_get (effect, "drain_within_ms")))
    fprintf (out, "; the drain lasts until the last flow has ended");
  else if (kq_ctl_json_number (effect, "drain_within_ms") > 0)
    fprintf (out, "; the drain lasts at most %.0f ms",
             kq_ctl_json_number (effect, "drain_within_ms"));
  fputc ('\n', out);
}

void
kq_ctl_print_plan (FILE *out, const json_t *plan)
{
  size_t index;
  const json_t *item;
  json_array_foreach (json_object_get (plan, "changes"), index, item)
  {
    print_change (out, item);
  }
  if (index == 0)
    fprintf (out, "nothing to change\n");
  json_array_foreach (json_object_get (plan, "effects"), index, item)
  {
    print_effect (out, item);
  }
  json_array_foreach (json_object_get (plan, "warnings"), index, item)
  {
    fprintf (out, "warning, service %s: %s\n", kq_ctl_json_text (item, "service"),
             kq_ctl_json_text (item, "what"));
  }
  json_array_foreach (json_object_get (plan, "refusals"), index, item)
  {
    fprintf (out, "refused, service %s: %s; %s\n", kq_ctl_json_text (item, "service"),
             kq_ctl_json_text (item, "what"), kq_ctl_json_text (item, "remedy"));
  }
  fprintf (out, "operation %s\ndigest %s\n", kq_ctl_json_text (plan, "operation"),
           kq_ctl_json_text (plan, "digest"));
}

static void
print_service_status (FILE *out, const json_t *service)
{
  size_t index;
  const json_t *item;
  const json_t *in_force = json_object_get (service, "in_force");
  const json_t *laggards = json_object_get (in_force, "laggards");
  fprintf (out, "service %s, number %.0f, port %.0f%s\n", kq_ctl_json_text (service, "name"),
           kq_ctl_json_number (service, "number"), kq_ctl_json_number (service, "port"),
           json_is_true (json_object_get (service, "removed")) ? ", removed" : "");
  fprintf (
      out, "  epoch %.0f revision %.0f in force on %.0f of %.0f balancers, %.0f of %.0f agents\n",
      kq_ctl_json_number (in_force, "epoch"), kq_ctl_json_number (in_force, "revision"),
      kq_ctl_json_number (in_force, "balancers_in_force"),
      kq_ctl_json_number (in_force, "balancers"), kq_ctl_json_number (in_force, "agents_in_force"),
      kq_ctl_json_number (in_force, "agents"));
  json_array_foreach (laggards, index, item)
  {
    fprintf (out, "  laggard %s\n", json_string_value (item));
  }
  json_array_foreach (json_object_get (service, "targets"), index, item)
  {
    fprintf (out, "  target %s in %s: %s", kq_ctl_json_text (item, "name"),
             kq_ctl_json_text (item, "failure_domain"), kq_ctl_json_text (item, "why"));
    print_count (out, item, "flows", "flows");
    print_count (out, item, "running", "running");
    print_count (out, item, "waiting", "waiting");
    fputc ('\n', out);
  }
  json_array_foreach (json_object_get (service, "drains"), index, item)
  {
    fprintf (out, "  drain of %s waits for %.0f flows and %.0f requests\n",
             kq_ctl_json_text (item, "name"), kq_ctl_json_number (item, "flows"),
             kq_ctl_json_number (item, "requests"));
  }
}

void
kq_ctl_print_status (FILE *out, const json_t *status)
{
  size_t index;
  const json_t *service;
  fprintf (out, "balancer: %s; store: %s\n", kq_ctl_json_text (status, "ready"),
           json_is_true (json_object_get (status, "store_reachable")) ? "reachable"
                                                                      : "not reachable");
  json_array_foreach (json_object_get (status, "services"), index, service)
  {
    print_service_status (out, service);
  }
}

void
kq_ctl_print_services (FILE *out, const json_t *services)
{
  size_t index;
  const json_t *item;
  json_array_foreach (json_object_get (services, "services"), index, item)
  {
    fprintf (out,
             "%s number %.0f revision %.0f %s port %.0f slots %.0f connections %.0f deadline_ms "
             "%.0f slo %.0f permille in %.0f ms%s\n",
             kq_ctl_json_text (item, "name"), kq_ctl_json_number (item, "number"),
             kq_ctl_json_number (item, "revision"), kq_ctl_json_text (item, "protocol"),
             kq_ctl_json_number (item, "port"), kq_ctl_json_number (item, "slots"),
             kq_ctl_json_number (item, "connections"), kq_ctl_json_number (item, "deadline_ms"),
             kq_ctl_json_number (item, "slo_permille"), kq_ctl_json_number (item, "slo_latency_ms"),
             json_is_true (json_object_get (item, "removed")) ? " removed" : "");
    size_t denied;
    const json_t *entry;
    json_array_foreach (json_object_get (item, "denied"), denied, entry)
    {
      fprintf (out, "  drains %s, limit %.0f ms\n", kq_ctl_json_text (entry, "name"),
               kq_ctl_json_number (entry, "limit_ms"));
    }
  }
}

static void
print_counts (FILE *out, const char *what, const json_t *counts)
{
  fprintf (out,
           "  %s %s: %.0f answered, %.0f late, %.0f refused, %.0f unknown, worth %.0f, %.0f flows "
           "open, burn 1h %.2f\n",
           what, kq_ctl_json_text (counts, "name"), kq_ctl_json_number (counts, "answered"),
           kq_ctl_json_number (counts, "late"), kq_ctl_json_number (counts, "refused"),
           kq_ctl_json_number (counts, "unknown"), kq_ctl_json_number (counts, "worth"),
           kq_ctl_json_number (counts, "flows_open"), kq_ctl_json_number (counts, "burn_1h"));
}

static void
print_service_report (FILE *out, const json_t *service)
{
  size_t index;
  const json_t *item;
  fprintf (out, "service %s: %.0f permille within %.0f ms, budget left %.1f%%\n",
           kq_ctl_json_text (service, "name"), kq_ctl_json_number (service, "slo_permille"),
           kq_ctl_json_number (service, "slo_latency_ms"),
           kq_ctl_json_number (service, "budget_left_percent"));
  fprintf (out, "  fast burn %s, slow burn %s\n",
           json_is_true (json_object_get (service, "fast_burn")) ? "YES" : "no",
           json_is_true (json_object_get (service, "slow_burn")) ? "YES" : "no");
  json_array_foreach (json_object_get (service, "windows"), index, item)
  {
    fprintf (out, "  window %s: %.0f requests, %.0f in time, burn %.2f, covers %.0f s\n",
             kq_ctl_json_text (item, "window"), kq_ctl_json_number (item, "requests"),
             kq_ctl_json_number (item, "good"), kq_ctl_json_number (item, "burn"),
             kq_ctl_json_number (item, "covered_s"));
  }
  fprintf (out, "  broken flows %.0f, imbalance %.2f, worth answered %.0f\n",
           kq_ctl_json_number (service, "broken_flows"), kq_ctl_json_number (service, "imbalance"),
           kq_ctl_json_number (service, "worth"));
  fprintf (out, "  causes: %.0f late, %.0f refused, %.0f unknown\n",
           kq_ctl_json_number (service, "late"), kq_ctl_json_number (service, "refused"),
           kq_ctl_json_number (service, "unknown"));
  json_array_foreach (json_object_get (service, "failure_domains"), index, item)
  {
    print_counts (out, "failure domain", item);
  }
  json_array_foreach (json_object_get (service, "targets"), index, item)
  {
    print_counts (out, "target", item);
  }
}

void
kq_ctl_print_report (FILE *out, const json_t *report)
{
  size_t index;
  const json_t *item;
  json_array_foreach (json_object_get (report, "services"), index, item)
  {
    print_service_report (out, item);
  }
  json_array_foreach (json_object_get (report, "silent_agents"), index, item)
  {
    fprintf (out, "no answer from agent %s\n", json_string_value (item));
  }
  fprintf (out, "%s\n", kq_ctl_json_text (report, "survival"));
}
