/* HTTP/1.1 server for the operator API and metrics, based on tevent. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqHttpServer KqHttpServer;
typedef struct KqHttpRequest KqHttpRequest;

/**
 * KqHttpHandler - handles a request; responds with kq_http_respond(), immediately or later
 * @request: valid until the response is given
 * @method: (borrowed): "GET", "POST"
 * @path: (borrowed): path without query
 * @body: (borrowed): the complete body
 * @size: size of @body
 */
typedef void (*KqHttpHandler) (KqHttpRequest *request, const char *method, const char *path,
                               const char *body, size_t size, void *data);

/** kq_http_server_new - Return: (owned by @parent) a listening server, or NULL with @error set */
KqHttpServer *kq_http_server_new (const void *parent, struct tevent_context *ev,
                                  const KqAddress *listen, KqHttpHandler handler, void *data,
                                  KqError *error);

/** kq_http_server_set_body_limit - sets the largest body of a request in bytes; 2 MiB by default */
void kq_http_server_set_body_limit (KqHttpServer *server, size_t limit);

/** kq_http_query_parameter - Return: (borrowed) value of a query parameter, or NULL */
const char *kq_http_query_parameter (KqHttpRequest *request, const char *name);

/** kq_http_request_header - Return: (borrowed) value of a request header, or NULL */
const char *kq_http_request_header (KqHttpRequest *request, const char *name);

/** kq_http_respond - sends a response and releases @request; copies @body */
void kq_http_respond (KqHttpRequest *request, unsigned status, const char *content_type,
                      const char *body, size_t size);

/**
 * kq_http_stream_begin - responds with status 200 and a streamed body
 * @on_closed: called once when the peer or kq_http_stream_end() closes the stream; @request is
 * freed afterwards
 */
void kq_http_stream_begin (KqHttpRequest *request, const char *content_type,
                           void (*on_closed) (KqHttpRequest *request, void *data), void *data);

/** kq_http_stream_write - appends @bytes to the body; copies them */
void kq_http_stream_write (KqHttpRequest *request, const char *bytes, size_t size);

/** kq_http_stream_end - ends the body after all pending data was sent */
void kq_http_stream_end (KqHttpRequest *request);

/** kq_http_server_port - Return: the port the server listens on, also if port 0 was requested */
uint16_t kq_http_server_port (const KqHttpServer *server);
