/* Concurrent HTTP GET of the same path from many instances. */
#pragma once

#include "kumquat/internal/http_client.h"
#include "kumquat/view.h"

#define KQ_SCRAPE_MEMBERS_MAX 512 /* maximum number of instances that a plan or report queries */

/**
 * struct KqScrapeResult - the response of one instance
 * @member: copy of the instance's member record
 * @answered: the instance responded with status 200 before the timeout
 * @body: (nullable): the response body, NUL-terminated
 */
typedef struct
{
  KqMember member;
  bool answered;
  char *body;
} KqScrapeResult;

/** @results are valid only during the callback */
typedef void (*KqScrapeCallback) (const KqScrapeResult *results, unsigned count, void *data);

/** kq_member_http_address - Return: address of an instance's HTTP port: its control port plus one
 */
KqAddress kq_member_http_address (const KqMember *member);

/**
 * kq_scrape - queries up to KQ_SCRAPE_MEMBERS_MAX of @members; @done is called once, from the event
 *   loop
 * @parent: freeing it cancels the scrape
 */
void kq_scrape (const void *parent, struct tevent_context *ev, KqHttpClient *http,
                const KqMember *members, unsigned count, const char *path, KqScrapeCallback done,
                void *data);
