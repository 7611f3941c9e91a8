#include <string.h>
#include <talloc.h>

#include "kumquat/internal/scrape.h"

#define CONCURRENT_CALLS_MAX 16
#define TIMEOUT_US           (500 * KQ_MS)
#define STATUS_OK            200

/**
 * struct Scrape - a scrape in progress
 * @next: index of the next instance to query
 * @calls_in_progress: number of HTTP calls in progress
 */
typedef struct
{
  KqHttpClient *http;
  char *path;
  KqScrapeResult *results;
  unsigned count;
  unsigned next;
  unsigned calls_in_progress;
  KqScrapeCallback done;
  void *data;
} Scrape;

/**
 * struct Ask - an HTTP call of a scrape
 */
typedef struct
{
  Scrape *scrape;
  KqScrapeResult *result;
  KqHttpCall *call;
} ScrapeCall;

KqAddress
kq_member_http_address (const KqMember *member)
{
  KqAddress address = member->control;
  address.port++;
  return address;
}

static int
destroy_scrape_call (ScrapeCall *scrape_call)
{
  TALLOC_FREE (scrape_call->call);
  return 0;
}

static void start_calls (Scrape *scrape);

static void
on_response (const KqHttpResult *result, void *data)
{
  ScrapeCall *scrape_call = data;
  Scrape *scrape = scrape_call->scrape;
  scrape_call->call = NULL;
  if (result->answered && result->status == STATUS_OK)
    {
      scrape_call->result->answered = true;
      scrape_call->result->body = talloc_strndup (scrape->results, result->body, result->size);
    }
  talloc_free (scrape_call);
  scrape->calls_in_progress--;
  start_calls (scrape);
}

static void
start_call (Scrape *scrape)
{
  ScrapeCall *scrape_call = talloc_zero (scrape, ScrapeCall);
  scrape_call->scrape = scrape;
  scrape_call->result = &scrape->results[scrape->next++];
  KqHttpParams params = { .address = kq_member_http_address (&scrape_call->result->member),
                          .method = "GET",
                          .path = scrape->path,
                          .timeout_us = TIMEOUT_US,
                          .done = on_response,
                          .data = scrape_call };
  scrape_call->call = kq_http_call (scrape->http, &params);
  talloc_set_destructor (scrape_call, destroy_scrape_call);
  scrape->calls_in_progress++;
}

static void
start_calls (Scrape *scrape)
{
  while (scrape->next < scrape->count && scrape->calls_in_progress < CONCURRENT_CALLS_MAX)
    start_call (scrape);
  if (scrape->calls_in_progress > 0)
    return;
  talloc_steal (NULL, scrape);
  scrape->done (scrape->results, scrape->count, scrape->data);
  talloc_free (scrape);
}

static void
on_start (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  start_calls (data);
}

void
kq_scrape (const void *parent, struct tevent_context *ev, KqHttpClient *http,
           const KqMember *members, unsigned count, const char *path, KqScrapeCallback done,
           void *data)
{
  Scrape *scrape = talloc_zero (parent, Scrape);
  scrape->http = http;
  scrape->path = talloc_strdup (scrape, path);
  scrape->count = count < KQ_SCRAPE_MEMBERS_MAX ? count : KQ_SCRAPE_MEMBERS_MAX;
  scrape->results = talloc_zero_array (scrape, KqScrapeResult, scrape->count + 1);
  for (unsigned i = 0; i < scrape->count; i++)
    scrape->results[i].member = members[i];
  scrape->done = done;
  scrape->data = data;
  tevent_add_timer (ev, scrape, tevent_timeval_zero (), on_start, scrape);
}
