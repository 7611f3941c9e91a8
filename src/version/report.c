/* The burn rate is the share of bad requests in a window, divided by the share that the service
 * level objective allows. A rate of 1 spends the error budget of three days in three days. A fast
 * burn is a rate of at least 14.4 over the last hour and over the last five minutes, a slow burn
 * one of at least 6 over the last six hours and over the last half hour. The short window of each
 * pair ends the alert soon after the fault has ended. */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/report.h"

#define FAST_BURN 14.4
#define SLOW_BURN 6.0
#define PERMILLE  1000.0

/**
 * struct MetricMember - maps a metric to a member of KqTargetCounters
 * @name: name of the metric
 * @offset: offset of the member
 */
typedef struct
{
  const char *name;
  size_t offset;
} MetricMember;

static const MetricMember metric_members[] = {
  { "kumquat_requests_answered_total", offsetof (KqTargetCounters, answered) },
  { "kumquat_requests_answered_in_time_total", offsetof (KqTargetCounters, in_time) },
  { "kumquat_requests_refused_total", offsetof (KqTargetCounters, refused) },
  { "kumquat_requests_unknown_total", offsetof (KqTargetCounters, unknown) },
  { "kumquat_worth_answered_total", offsetof (KqTargetCounters, worth) },
  { "kumquat_flows_open", offsetof (KqTargetCounters, flows_open) },
  { "kumquat_flows_lost_total", offsetof (KqTargetCounters, flows_lost) },
};

static int
find_window (const char *labels, size_t size)
{
  for (int i = 0; i < KQ_BURN_WINDOWS; i++)
    {
      char label[24];
      snprintf (label, sizeof label, "window=\"%s\"", kq_burn_window_name (i));
      if (memmem (labels, size, label, strlen (label)) != NULL)
        return i;
    }
  return -1;
}

static void
parse_window (const char *name, size_t name_size, int window, uint64_t value,
              KqTargetCounters *target)
{
  static const char prefix[] = "kumquat_slo_window_";
  size_t size = sizeof prefix - 1;
  if (window < 0 || name_size < size || memcmp (name, prefix, size) != 0)
    return;
  const char *rest = name + size;
  size_t rest_size = name_size - size;
  if (rest_size == 8 && memcmp (rest, "requests", 8) == 0)
    target->windows[window].total = value;
  else if (rest_size == 13 && memcmp (rest, "good_requests", 13) == 0)
    target->windows[window].good = value;
  else if (rest_size == 5 && memcmp (rest, "worth", 5) == 0)
    target->windows[window].worth = value;
  else if (rest_size == 15 && memcmp (rest, "covered_seconds", 15) == 0)
    target->covered_s[window] = value;
}

static void
parse_line (const char *line, size_t size, KqTargetCounters *target)
{
  const char *space = memrchr (line, ' ', size);
  if (size == 0 || line[0] == '#' || space == NULL)
    return;
  size_t labels_end = (size_t)(space - line);
  const char *brace = memchr (line, '{', labels_end);
  size_t name_size = brace == NULL ? labels_end : (size_t)(brace - line);
  uint64_t value = strtoull (space + 1, NULL, 10);
  for (unsigned i = 0; i < sizeof metric_members / sizeof metric_members[0]; i++)
    if (strlen (metric_members[i].name) == name_size &&
        memcmp (metric_members[i].name, line, name_size) == 0)
      memcpy ((char *)target + metric_members[i].offset, &value, sizeof value);
  if (brace != NULL)
    parse_window (line, name_size, find_window (brace, labels_end - name_size), value, target);
}

void
kq_report_parse (const char *text, KqTargetCounters *target)
{
  while (*text != '\0')
    {
      const char *end = strchrnul (text, '\n');
      parse_line (text, (size_t)(end - text), target);
      text = *end == '\0' ? end : end + 1;
    }
}

static double
burn_rate (const KqService *service, const KqBurnCounts *counts)
{
  double allowed = (PERMILLE - service->slo_permille) / PERMILLE;
  if (counts->total == 0)
    return 0;
  double bad = counts->total > counts->good ? (double)(counts->total - counts->good) : 0;
  return bad / (double)counts->total / allowed;
}

static KqTargetCounters
sum_counters (const KqTargetCounters *targets, unsigned count, const char *failure_domain)
{
  KqTargetCounters total = { 0 };
  for (unsigned i = 0; i < count; i++)
    {
      const KqTargetCounters *target = &targets[i];
      if (failure_domain != NULL && strcmp (target->member.failure_domain, failure_domain) != 0)
        continue;
      total.answered += target->answered;
      total.in_time += target->in_time;
      total.refused += target->refused;
      total.unknown += target->unknown;
      total.worth += target->worth;
      total.flows_open += target->flows_open;
      total.flows_lost += target->flows_lost;
      for (unsigned w = 0; w < KQ_BURN_WINDOWS; w++)
        {
          total.windows[w].total += target->windows[w].total;
          total.windows[w].good += target->windows[w].good;
          total.windows[w].worth += target->windows[w].worth;
          if (target->covered_s[w] > total.covered_s[w])
            total.covered_s[w] = target->covered_s[w];
        }
    }
  return total;
}

static json_t *
counts_json (const char *name, const KqTargetCounters *counts, const KqService *service)
{
  return json_pack ("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f}", "name", name, "answered",
                    (json_int_t)counts->answered, "in_time", (json_int_t)counts->in_time, "late",
                    (json_int_t)(counts->answered - counts->in_time), "refused",
                    (json_int_t)counts->refused, "unknown", (json_int_t)counts->unknown, "worth",
                    (json_int_t)counts->worth, "flows_open", (json_int_t)counts->flows_open,
                    "flows_lost_seen", (json_int_t)counts->flows_lost, "burn_1h",
                    burn_rate (service, &counts->windows[KQ_BURN_1_HOUR]));
}

static json_t *
windows_json (const KqService *service, const KqTargetCounters *total)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < KQ_BURN_WINDOWS; i++)
    {
      const KqBurnCounts *counts = &total->windows[i];
      json_array_append_new (
          list,
          json_pack ("{s:s, s:I, s:I, s:I, s:f, s:I}", "window",
                     kq_burn_window_name ((KqBurnWindow)i), "requests", (json_int_t)counts->total,
                     "good", (json_int_t)counts->good, "worth", (json_int_t)counts->worth, "burn",
                     burn_rate (service, counts), "covered_s", (json_int_t)total->covered_s[i]));
    }
  return list;
}

/* Return: the highest number of requests per weight of a target in the last five minutes, divided
 * by the mean over the targets; 1 without requests. */
static double
imbalance (const KqService *service, const KqTargetCounters *targets, unsigned count)
{
  double max_share = 0;
  double sum_of_shares = 0;
  unsigned used = 0;
  for (unsigned i = 0; i < count; i++)
    {
      unsigned weight = kq_service_weight (service, &targets[i].member);
      if (weight == 0 || !kq_service_admits (service, &targets[i].member) ||
          targets[i].member.phase != KQ_PHASE_SERVING)
        continue;
      double share = (double)targets[i].windows[KQ_BURN_5_MINUTES].total / weight;
      sum_of_shares += share;
      used++;
      if (share > max_share)
        max_share = share;
    }
  return sum_of_shares > 0 ? max_share * used / sum_of_shares : 1;
}

static json_t *
domains_json (const KqService *service, const KqTargetCounters *targets, unsigned count)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < count; i++)
    {
      const char *domain = targets[i].member.failure_domain;
      unsigned first = 0;
      while (strcmp (targets[first].member.failure_domain, domain) != 0)
        first++;
      if (first < i)
        continue;
      KqTargetCounters total = sum_counters (targets, count, domain);
      json_array_append_new (list, counts_json (domain, &total, service));
    }
  return list;
}

static json_t *
targets_json (const KqService *service, const KqTargetCounters *targets, unsigned count)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < count; i++)
    {
      json_t *item = counts_json (targets[i].member.name, &targets[i], service);
      json_object_set_new (item, "failure_domain", json_string (targets[i].member.failure_domain));
      json_array_append_new (list, item);
    }
  return list;
}

json_t *
kq_report_service (const KqService *service, const KqTargetCounters *targets, unsigned count)
{
  unsigned used = 0;
  KqTargetCounters *service_targets = talloc_array (NULL, KqTargetCounters, count + 1);
  for (unsigned i = 0; i < count; i++)
    if (targets[i].member.service == service->number)
      service_targets[used++] = targets[i];
  KqTargetCounters total = sum_counters (service_targets, used, NULL);
  double rates[KQ_BURN_WINDOWS];
  for (unsigned i = 0; i < KQ_BURN_WINDOWS; i++)
    rates[i] = burn_rate (service, &total.windows[i]);
  bool fast = rates[KQ_BURN_1_HOUR] >= FAST_BURN && rates[KQ_BURN_5_MINUTES] >= FAST_BURN;
  bool slow = rates[KQ_BURN_6_HOURS] >= SLOW_BURN && rates[KQ_BURN_30_MINUTES] >= SLOW_BURN;
  json_t *root = counts_json (service->name, &total, service);
  json_object_set_new (root, "number", json_integer (service->number));
  json_object_set_new (root, "slo_permille", json_integer (service->slo_permille));
  json_object_set_new (root, "slo_latency_ms", json_integer (service->slo_latency_ms));
  json_object_set_new (root, "budget_left_percent", json_real (100 * (1 - rates[KQ_BURN_3_DAYS])));
  json_object_set_new (root, "fast_burn", json_boolean (fast));
  json_object_set_new (root, "slow_burn", json_boolean (slow));
  json_object_set_new (root, "broken_flows", json_integer ((json_int_t)total.flows_lost));
  json_object_set_new (root, "imbalance", json_real (imbalance (service, service_targets, used)));
  json_object_set_new (root, "windows", windows_json (service, &total));
  json_object_set_new (root, "failure_domains", domains_json (service, service_targets, used));
  json_object_set_new (root, "targets", targets_json (service, service_targets, used));
  talloc_free (service_targets);
  return root;
}
