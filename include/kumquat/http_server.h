/* Small HTTP/1.1 server for operators and metrics on a tevent loop. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqHttpServer KqHttpServer;
typedef struct KqHttpRequest KqHttpRequest;

/**
 * KqHttpHandler - answers one request, now or later, by kq_http_respond()
 * @request: valid until it is answered; its answer may come after the handler returned
 * @method: (borrowed): "GET", "POST"
 * @path: (borrowed): path without query
 * @body: (borrowed): the whole body
 * @size: bytes at @body
 */
typedef void (*KqHttpHandler) (KqHttpRequest *request, const char *method, const char *path,
                               const char *body, size_t size, void *data);

/** kq_http_server_new - Return: (owned by @parent) a listening server, or NULL with @error set */
KqHttpServer *kq_http_server_new (const void *parent, struct tevent_context *ev,
                                  const KqAddress *listen, KqHttpHandler handler, void *data,
                                  KqError *error);

/** kq_http_query - Return: (borrowed) value of a query parameter, or NULL */
const char *kq_http_query (KqHttpRequest *request, const char *name);

/** kq_http_header - Return: (borrowed) value of a request header, or NULL */
const char *kq_http_header (KqHttpRequest *request, const char *name);

/** kq_http_respond - answers and releases @request; copies @body */
void kq_http_respond (KqHttpRequest *request, unsigned status, const char *content_type,
                      const char *body, size_t size);

/**
 * kq_http_stream_begin - answers 200 with a body that is written piece by piece
 * @closed: called once when the stream ended, by the peer or by kq_http_stream_end(); @request is
 *   gone afterwards
 */
void kq_http_stream_begin (KqHttpRequest *request, const char *content_type,
                           void (*closed) (KqHttpRequest *request, void *data), void *data);

/** kq_http_stream_write - appends to the body; copies @bytes */
void kq_http_stream_write (KqHttpRequest *request, const char *bytes, size_t size);

/** kq_http_stream_end - ends the body once all was sent */
void kq_http_stream_end (KqHttpRequest *request);

/** kq_http_port - Return: the port that is listened on, also when port 0 was asked for */
uint16_t kq_http_port (const KqHttpServer *server);
