/* Asynchronous HTTP/1.1 client based on tevent; responses are parsed with http_parser. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqHttpClient KqHttpClient;
typedef struct KqHttpCall KqHttpCall;

/**
 * struct KqHttpResult - result of a call; pointers are valid only during the callback
 * @answered: a complete response was received
 * @sent: at least part of the request was sent, so the peer may have processed it
 * @status: HTTP status, if @answered
 * @body: response body, NUL-terminated; empty if the call has a chunk callback
 * @size: size of @body
 * @number: value of the response header that the call asked for; 0 if it is missing or no number
 * @failure: error description if no complete response was received
 */
typedef struct
{
  bool answered;
  bool sent;
  unsigned status;
  const char *body;
  size_t size;
  uint64_t number;
  const char *failure;
} KqHttpResult;

/**
 * struct KqHttpParams - parameters of a call; all pointers except @data are borrowed only for
 *   kq_http_call()
 * @address: the peer
 * @method: "GET" or "POST"
 * @path: path and query
 * @bearer: (nullable): value of the Authorization header after "Bearer "
 * @body: (nullable): JSON body of the request
 * @number_header: (nullable) (static): name of a response header with a decimal number
 * @timeout_us: timeout of the whole call; 0: only connecting has a timeout
 * @extend_timeout: each part of the response that arrives starts the timeout anew, up to a fixed
 *   limit for the whole call
 * @new_connection: use a new connection and close it afterwards. A GET is retried once if a reused
 *   connection turns out to be closed; a write must not be retried
 * @chunk: (nullable): called with each part of the body; Return: false to abort the call
 * @done: called once, unless the call is freed first
 * @data: context pointer of the callbacks
 */
typedef struct
{
  KqAddress address;
  const char *method;
  const char *path;
  const char *bearer;
  const char *body;
  const char *number_header;
  KqTime timeout_us;
  bool extend_timeout;
  bool new_connection;
  bool (*chunk) (const char *bytes, size_t size, void *data);
  void (*done) (const KqHttpResult *result, void *data);
  void *data;
} KqHttpParams;

/** kq_http_client_new - Return: (owned by @parent) a client, or NULL with @error set */
KqHttpClient *kq_http_client_new (const void *parent, struct tevent_context *ev, KqError *error);

/** kq_http_call - starts a call. Return: (owned by @client) the call; talloc_free() cancels it, but
 * must not be called from its chunk callback */
KqHttpCall *kq_http_call (KqHttpClient *client, const KqHttpParams *params);
