/* State of the operators' interface, shared by the files operator*.c. */
#pragma once

#include <jansson.h>

#include "kumquat/internal/http_client.h"
#include "kumquat/operator_api.h"
#include "kumquat/random.h"

struct KqOperatorApi
{
  struct tevent_context *ev;
  KqOperatorParams params;
  KqOperatorOps ops;
  void *data;
  KqHttpServer *server;
  KqHttpClient *http;
  KqRandom random;
};

/** kq_operator_respond - answers with JSON and a newline; takes @root */
void kq_operator_respond (KqHttpRequest *request, unsigned status, json_t *root);

/** kq_operator_fail - answers with an error as JSON; the status follows from its kind */
void kq_operator_fail (KqHttpRequest *request, const KqError *error);

/** kq_operator_number - Return: the number at the end of a service's key, or 0 */
uint32_t kq_operator_number (const char *key);

/* Handlers; each answers @request, now or later. */
void kq_operator_plan (KqOperatorApi *api, KqHttpRequest *request, const char *body, size_t size);
void kq_operator_confirm (KqOperatorApi *api, KqHttpRequest *request, const char *body,
                          size_t size);
void kq_operator_status (KqOperatorApi *api, KqHttpRequest *request);
void kq_operator_services (KqOperatorApi *api, KqHttpRequest *request);
void kq_operator_operation (KqOperatorApi *api, KqHttpRequest *request, const char *operation);
void kq_operator_report (KqOperatorApi *api, KqHttpRequest *request);
