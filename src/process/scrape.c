#include <string.h>
#include <talloc.h>

#include "kumquat/internal/scrape.h"

#define AT_A_TIME  16
#define TIMEOUT_US (500 * KQ_MS)
#define STATUS_OK  200

/**
 * struct Scrape - a scrape in progress
 * @next: index of the next instance to query
 * @open: number of HTTP calls in progress
 */
typedef struct
{
  KqHttpClient *http;
  char *path;
  KqScrapeResult *results;
  unsigned count;
  unsigned next;
  unsigned open;
  KqScrapeDone done;
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
} Ask;

KqAddress
kq_member_http (const KqMember *member)
{
  KqAddress address = member->control;
  address.port++;
  return address;
}

static int
destroy_ask (Ask *ask)
{
  TALLOC_FREE (ask->call);
  return 0;
}

static void ask_more (Scrape *scrape);

static void
on_answer (const KqHttpResult *result, void *data)
{
  Ask *ask = data;
  Scrape *scrape = ask->scrape;
  ask->call = NULL;
  if (result->answered && result->status == STATUS_OK)
    {
      ask->result->answered = true;
      ask->result->body = talloc_strndup (scrape->results, result->body, result->size);
    }
  talloc_free (ask);
  scrape->open--;
  ask_more (scrape);
}

static void
ask_one (Scrape *scrape)
{
  Ask *ask = talloc_zero (scrape, Ask);
  ask->scrape = scrape;
  ask->result = &scrape->results[scrape->next++];
  KqHttpParams params = { .address = kq_member_http (&ask->result->member),
                          .method = "GET",
                          .path = scrape->path,
                          .timeout_us = TIMEOUT_US,
                          .done = on_answer,
                          .data = ask };
  ask->call = kq_http_call (scrape->http, &params);
  talloc_set_destructor (ask, destroy_ask);
  scrape->open++;
}

static void
ask_more (Scrape *scrape)
{
  while (scrape->next < scrape->count && scrape->open < AT_A_TIME)
    ask_one (scrape);
  if (scrape->open > 0)
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
  ask_more (data);
}

void
kq_scrape (const void *parent, struct tevent_context *ev, KqHttpClient *http,
           const KqMember *members, unsigned count, const char *path, KqScrapeDone done, void *data)
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
