/* State and helpers of the operators' interface, shared by the files operator*.c. */
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

/** kq_operator_respond_json - responds with JSON and a newline; takes ownership of @root */
void kq_operator_respond_json (KqHttpRequest *request, unsigned status, json_t *root);

/** kq_operator_respond_error - responds with a JSON error; its kind determines the HTTP status */
void kq_operator_respond_error (KqHttpRequest *request, const KqError *error);

/** kq_operator_service_number - Return: the service number in the key of a service document, or 0
 * when @key is another key */
uint32_t kq_operator_service_number (const char *key);

/* Request handlers; each responds to @request, immediately or asynchronously. */
void kq_operator_plan (KqOperatorApi *api, KqHttpRequest *request, const char *body, size_t size);
void kq_operator_confirm (KqOperatorApi *api, KqHttpRequest *request, const char *body,
                          size_t size);
void kq_operator_status (KqOperatorApi *api, KqHttpRequest *request);
void kq_operator_services (KqOperatorApi *api, KqHttpRequest *request);
void kq_operator_operation (KqOperatorApi *api, KqHttpRequest *request, const char *operation);
void kq_operator_report (KqOperatorApi *api, KqHttpRequest *request);
