/* HTTP/1.1 client on a tevent loop; http_parser reads the answers. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqHttpClient KqHttpClient;
typedef struct KqHttpCall KqHttpCall;

/**
 * struct KqHttpResult - outcome of one call; pointers are borrowed for the callback
 * @answered: a whole answer arrived
 * @sent: some of the request was sent, so that the peer may have acted on it
 * @status: HTTP status, when @answered
 * @body: what was collected, with a NUL; empty when the call had a chunk callback
 * @size: bytes at @body
 * @failure: why no whole answer arrived
 */
typedef struct
{
  bool answered;
  bool sent;
  unsigned status;
  const char *body;
  size_t size;
  const char *failure;
} KqHttpResult;

/**
 * struct KqHttpParams - one call; all pointers but @data are borrowed for kq_http_call()
 * @address: the peer
 * @method: "GET" or "POST"
 * @path: path and query
 * @bearer: (nullable): value of the Authorization header after "Bearer "
 * @body: (nullable): JSON to send
 * @timeout_us: limit of the whole call; 0 means that only connecting is limited
 * @fresh: use a new connection and do not keep it. A GET is repeated once when a kept connection
 *   turns out to be dead; a write must not be
 * @chunk: (nullable): takes the body piece by piece; Return: false to end the call
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
  KqTime timeout_us;
  bool fresh;
  bool (*chunk) (const char *bytes, size_t size, void *data);
  void (*done) (const KqHttpResult *result, void *data);
  void *data;
} KqHttpParams;

/** kq_http_client_new - Return: (owned by @parent) a client, or NULL with @error set */
KqHttpClient *kq_http_client_new (const void *parent, struct tevent_context *ev, KqError *error);

/** kq_http_call - Return: (owned by @client) a call; talloc_free() cancels it, but not inside its
 * chunk callback */
KqHttpCall *kq_http_call (KqHttpClient *client, const KqHttpParams *params);
