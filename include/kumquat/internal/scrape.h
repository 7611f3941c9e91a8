/* Asks many instances for the same HTTP path, some at a time. */
#pragma once

#include "kumquat/internal/http_client.h"
#include "kumquat/view.h"

#define KQ_SCRAPE_MEMBERS_MAX 512 /* a plan or report asks at most so many instances */

/**
 * struct KqScrapeResult - one instance's answer
 * @member: a copy of what membership knows of it
 * @answered: it answered 200 in time
 * @body: (nullable): its answer with a NUL
 */
typedef struct
{
  KqMember member;
  bool answered;
  char *body;
} KqScrapeResult;

/** @results are borrowed for the call */
typedef void (*KqScrapeDone) (const KqScrapeResult *results, unsigned count, void *data);

/** kq_member_http - Return: address of an instance's HTTP port: its control port plus one */
KqAddress kq_member_http (const KqMember *member);

/**
 * kq_scrape - asks up to KQ_SCRAPE_MEMBERS_MAX of @members; @done is called once, from the loop
 * @parent: freeing it cancels the scrape
 */
void kq_scrape (const void *parent, struct tevent_context *ev, KqHttpClient *http,
                const KqMember *members, unsigned count, const char *path, KqScrapeDone done,
                void *data);
