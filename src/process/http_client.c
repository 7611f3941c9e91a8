#include <curl/curl.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/http_client.h"

#define CONNECT_TIMEOUT_MS 1000L
#define KEEPALIVE_S        5L
#define BODY_BYTES_MAX     ((size_t)64 * 1024 * 1024)

struct KqHttpClient
{
  struct tevent_context *ev;
  CURLM *multi;
  void *calls;
  struct tevent_timer *timer;
  struct tevent_timer *reaper;
};

/**
 * struct KqHttpCall - one call in progress
 * @client: (borrowed): the client
 * @easy: libcurl's handle
 * @headers: libcurl's header list
 * @body: what was received
 * @size: bytes of @body
 * @chunk: see KqHttpParams
 * @done: see KqHttpParams
 * @data: see KqHttpParams
 */
struct KqHttpCall
{
  KqHttpClient *client;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  size_t size;
  bool (*chunk) (const char *bytes, size_t size, void *data);
  void (*done) (const KqHttpResult *result, void *data);
  void *data;
};

static void
finish (KqHttpCall *call, CURLcode code)
{
  long status = 0;
  long sent = 0;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &sent);
  KqHttpResult result = { .answered = code == CURLE_OK,
                          .sent = sent > 0,
                          .status = (unsigned)status,
                          .body = call->body == NULL ? "" : call->body,
                          .size = call->size,
                          .failure = curl_easy_strerror (code) };
  talloc_steal (NULL, call);
  curl_multi_remove_handle (call->client->multi, call->easy);
  call->client = NULL;
  call->done (&result, call->data);
  talloc_free (call);
}

static void schedule_reaper (KqHttpClient *client);

/* Ends one call an event, because its callback may free the client. */
static void
on_reaper (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  KqHttpClient *client = data;
  char *private = NULL;
  int left;
  (void)ev;
  (void)timer;
  (void)now;
  client->reaper = NULL;
  CURLMsg *message = curl_multi_info_read (client->multi, &left);
  if (message == NULL)
    return;
  schedule_reaper (client);
  CURLcode code = message->data.result;
  curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &private);
  finish ((KqHttpCall *)private, code);
}

static void
schedule_reaper (KqHttpClient *client)
{
  if (client->reaper == NULL)
    client->reaper =
        tevent_add_timer (client->ev, client, tevent_timeval_zero (), on_reaper, client);
}

static void
on_timer (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  KqHttpClient *client = data;
  int running;
  (void)ev;
  (void)timer;
  (void)now;
  client->timer = NULL;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  schedule_reaper (client);
}

static int
set_timer (CURLM *multi, long ms, void *data)
{
  KqHttpClient *client = data;
  (void)multi;
  TALLOC_FREE (client->timer);
  if (ms < 0)
    return 0;
  struct timeval when =
      tevent_timeval_current_ofs ((uint32_t)(ms / 1000), (uint32_t)(ms % 1000 * 1000));
  client->timer = tevent_add_timer (client->ev, client, when, on_timer, client);
  return 0;
}

/**
 * struct Socket - one socket of libcurl's that the loop watches
 */
typedef struct
{
  KqHttpClient *client;
  struct tevent_fd *event;
  curl_socket_t fd;
} Socket;

static void
on_socket (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  Socket *socket = data;
  KqHttpClient *client = socket->client;
  int running;
  int mask = 0;
  (void)ev;
  (void)event;
  if (flags & TEVENT_FD_READ)
    mask |= CURL_CSELECT_IN;
  if (flags & TEVENT_FD_WRITE)
    mask |= CURL_CSELECT_OUT;
  /* libcurl may free @socket in this call. */
  curl_multi_socket_action (client->multi, socket->fd, mask, &running);
  schedule_reaper (client);
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *slot)
{
  KqHttpClient *client = data;
  Socket *socket = slot;
  uint16_t flags = 0;
  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      talloc_free (socket);
      return 0;
    }
  if (what & CURL_POLL_IN)
    flags |= TEVENT_FD_READ;
  if (what & CURL_POLL_OUT)
    flags |= TEVENT_FD_WRITE;
  if (socket != NULL)
    {
      tevent_fd_set_flags (socket->event, flags);
      return 0;
    }
  socket = talloc_zero (client, Socket);
  socket->client = client;
  socket->fd = fd;
  socket->event = tevent_add_fd (client->ev, socket, fd, flags, on_socket, socket);
  curl_multi_assign (client->multi, fd, socket);
  return 0;
}

static int
destroy_client (KqHttpClient *client)
{
  TALLOC_FREE (client->calls);
  curl_multi_cleanup (client->multi);
  return 0;
}

KqHttpClient *
kq_http_client_new (const void *parent, struct tevent_context *ev, KqError *error)
{
  KqHttpClient *client = talloc_zero (parent, KqHttpClient);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->ev = ev;
  client->calls = talloc_new (client);
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM, "cannot start libcurl; free some memory");
      talloc_free (client);
      return NULL;
    }
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  talloc_set_destructor (client, destroy_client);
  return client;
}

static size_t
take_body (char *bytes, size_t item, size_t count, void *data)
{
  KqHttpCall *call = data;
  size_t size = item * count;
  if (call->chunk != NULL)
    return call->chunk (bytes, size, call->data) ? size : 0;
  if (call->size + size > BODY_BYTES_MAX)
    return 0;
  call->body = talloc_realloc (call, call->body, char, call->size + size + 1);
  memcpy (call->body + call->size, bytes, size);
  call->size += size;
  call->body[call->size] = '\0';
  return size;
}

static int
destroy_call (KqHttpCall *call)
{
  if (call->client != NULL)
    curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  return 0;
}

static void
set_options (KqHttpCall *call, const KqHttpParams *params)
{
  char address[KQ_ADDRESS_TEXT_BYTES];
  CURL *easy = call->easy;
  char *url = talloc_asprintf (call, "http://%s%s", kq_address_format (&params->address, address),
                               params->path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)(params->timeout_us / KQ_MS));
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, params->fresh ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, params->fresh ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, params->method);
  if (params->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)strlen (params->body));
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, params->body);
      call->headers = curl_slist_append (call->headers, "Content-Type: application/json");
    }
  if (params->bearer != NULL)
    {
      char *header = talloc_asprintf (call, "Authorization: Bearer %s", params->bearer);
      call->headers = curl_slist_append (call->headers, header);
    }
  /* Without this, libcurl waits for "100 Continue" before it sends a large body. */
  call->headers = curl_slist_append (call->headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
}

KqHttpCall *
kq_http_call (KqHttpClient *client, const KqHttpParams *params)
{
  KqHttpCall *call = talloc_zero (client->calls, KqHttpCall);
  call->client = client;
  call->chunk = params->chunk;
  call->done = params->done;
  call->data = params->data;
  call->easy = curl_easy_init ();
  set_options (call, params);
  talloc_set_destructor (call, destroy_call);
  curl_multi_add_handle (client->multi, call->easy);
  return call;
}
