#include <string.h>
#include <talloc.h>

#include "kumquat/internal/operator_impl.h"
#include "kumquat/internal/report.h"
#include "kumquat/internal/scrape.h"

/* Describes which counts survive a restart, as part of the report; docs/howto/report.md has the
 * details. */
#define RETENTION_NOTE                                                                             \
  "Agents count for their own target and keep three days. An agent that is replaced starts again " \
  "from 0, and what it counted is gone; covered_s says how much of each window the longest-lived " \
  "agent has seen. Replaced balancers lose nothing that is shown here."

/**
 * struct ReportRequest - a report request in progress
 */
typedef struct
{
  KqOperatorApi *api;
  KqHttpRequest *request;
} ReportRequest;

static void
on_scraped (const KqScrapeResult *results, unsigned count, void *data)
{
  ReportRequest *report_request = data;
  const KqServiceCatalog *catalog = report_request->api->params.catalog;
  KqTargetCounters *targets = talloc_zero_array (report_request, KqTargetCounters, count + 1);
  json_t *unanswered_names = json_array ();
  unsigned used = 0;
  for (unsigned i = 0; i < count; i++)
    {
      if (!results[i].answered)
        {
          json_array_append_new (unanswered_names, json_string (results[i].member.name));
          continue;
        }
      targets[used].member = results[i].member;
      kq_report_parse (results[i].body, &targets[used]);
      used++;
    }
  json_t *services = json_array ();
  for (unsigned i = 0; i < kq_service_catalog_count (catalog); i++)
    {
      const KqService *service = kq_service_catalog_at (catalog, i);
      if (!service->removed)
        json_array_append_new (services, kq_report_service (service, targets, used));
    }
  kq_operator_respond_json (report_request->request, 200,
                            json_pack ("{s:o, s:o, s:s}", "services", services, "silent_agents",
                                       unanswered_names, "survival", RETENTION_NOTE));
  talloc_free (report_request);
}

void
kq_operator_report (KqOperatorApi *api, KqHttpRequest *request)
{
  unsigned count;
  unsigned used = 0;
  ReportRequest *report_request = talloc_zero (api, ReportRequest);
  report_request->api = api;
  report_request->request = request;
  const KqMember *members = api->ops.members (&count, api->data);
  KqMember *agents = talloc_array (report_request, KqMember, count + 1);
  for (unsigned i = 0; i < count; i++)
    if (members[i].role == KQ_ROLE_AGENT)
      agents[used++] = members[i];
  kq_scrape (report_request, api->ev, api->http, agents, used, "/metrics", on_scraped,
             report_request);
}
