#include "caller.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "net.h"

#define RETRANSMIT_BACKOFF 2 /* growth of the retransmission interval */
#define TEXT_BYTES         64
#define POST_PERCENT       60 /* share of POST requests in a flow */
#define BACKOFF_JITTER     (250 * KQ_MS)
#define RETRY_BUDGET_MIN   5     /* retries allowed regardless of the number of requests */
#define SOURCE_PORT_FIRST  10000 /* ports up to 32000 stay below the kernel's ephemeral range */
#define SOURCE_PORTS_MAX   22000
#define FILE_COUNT         1000

static uint64_t
random_below (CallerFlow *flow, uint64_t bound)
{
  return kq_random_below (&flow->caller->standin->random, bound);
}

void
caller_flow_send (CallerFlow *flow, const KqCoapMessage *message)
{
  int size = kq_coap_message_format (message, flow->bytes, sizeof flow->bytes);
  if (size < 0)
    standin_fail ("message", "use shorter names for the caller and the service");
  flow->size = (size_t)size;
  net_send (flow->fd, flow->bytes, flow->size, &flow->caller->fabric, NULL);
}

static void
format_flow_name (CallerFlow *flow)
{
  snprintf (flow->name, sizeof flow->name, "%s.%u.%u", flow->caller->name, flow->index,
            flow->generation);
}

void
caller_flow_break (CallerFlow *flow, const char *why)
{
  if (flow->broken)
    return;
  flow->broken = true;
  flow->caller->counts.flows_broken++;
  if (flow->workload == WORKLOAD_FEED)
    flow->caller->counts.feeds_broken++;
  char text[TEXT_BYTES * 2];
  snprintf (text, sizeof text, "%s %s %s", flow->name, why, flow->target);
  journal_write (&flow->caller->journal, "broken", text);
}

void
caller_flow_close (CallerFlow *flow)
{
  if (flow->established && !flow->broken)
    flow->caller->counts.flows_kept++;
}

bool
caller_flow_check_head (CallerFlow *flow, const KqCoapMessage *message, ContentHead *head)
{
  CallerCounts *counts = &flow->caller->counts;
  if (!content_read_head (message->payload, message->payload_size, head))
    {
      counts->half++;
      journal_write (&flow->caller->journal, "half", flow->name);
      return false;
    }
  if (strcmp (head->service, flow->caller->service) != 0)
    {
      counts->wrong_service++;
      journal_write (&flow->caller->journal, "wrong", head->service);
      return false;
    }
  if (strcmp (head->flow, flow->name) != 0)
    {
      counts->crossed++;
      journal_write (&flow->caller->journal, "crossed", head->flow);
      return false;
    }
  if (!flow->established)
    {
      flow->established = true;
      counts->flows_opened++;
      snprintf (flow->target, sizeof flow->target, "%s", head->target);
      flow->incarnation = head->incarnation;
    }
  else if (strcmp (flow->target, head->target) != 0 || flow->incarnation != head->incarnation)
    {
      counts->moved++;
      caller_flow_break (flow, "moved");
      snprintf (flow->target, sizeof flow->target, "%s", head->target);
      flow->incarnation = head->incarnation;
    }
  return true;
}

/* Formats the operation ID of the open request; all its attempts carry the same one. */
static const char *
operation_name (const CallerFlow *flow, char text[TEXT_BYTES])
{
  snprintf (text, TEXT_BYTES, "%s.%u", flow->name, flow->request);
  return text;
}

static void
write_path (CallerFlow *flow, KqCoapMessage *message)
{
  const char *path = flow->workload == WORKLOAD_MARKS ? "marks" : "reservations";
  if (flow->workload == WORKLOAD_DOWNLOADS)
    {
      snprintf (message->path, sizeof message->path, "files/%u", flow->file);
      message->block2 = (KqCoapBlock){ true, false, CONTENT_SZX, flow->block };
    }
  else if (flow->posting)
    snprintf (message->path, sizeof message->path, "%s", path);
  else if (flow->workload == WORKLOAD_MARKS)
    snprintf (message->path, sizeof message->path, "marks/%u", flow->request);
  else
    snprintf (message->path, sizeof message->path, "availability");
}

/* Sends the open request with a new token, and with the Echo value if a target asked for one. */
static void
send_attempt (CallerFlow *flow, KqTime now)
{
  Caller *caller = flow->caller;
  char operation[TEXT_BYTES];
  KqTime left = flow->started_at + caller->deadline_ms * KQ_MS - now;
  KqCoapMessage message = { .type = caller->non_confirmable ? KQ_COAP_NON : KQ_COAP_CON,
                            .code = flow->posting ? KQ_COAP_POST : KQ_COAP_GET,
                            .message_id = flow->next_id++,
                            .token_size = KQ_COAP_TOKEN_BYTES };
  uint32_t token[2] = { htonl (flow->index << 8 | (flow->generation & 0xff)),
                        htonl (++flow->attempt) };
  memcpy (message.token, token, sizeof token);
  write_path (flow, &message);
  snprintf (message.query, sizeof message.query, "s=%s&f=%s&n=%u&deadline=%lld&class=%s",
            caller->service, flow->name, flow->request, (long long)(left / KQ_MS),
            flow->posting ? "mark" : "lookup");
  if (flow->posting)
    {
      message.payload = (const uint8_t *)operation_name (flow, operation);
      message.payload_size = strlen (operation);
      message.echo_size = flow->echo_size;
      memcpy (message.echo, flow->echo, flow->echo_size);
    }
  flow->message_id = message.message_id;
  flow->state = FLOW_WAITING;
  flow->retransmit_interval =
      caller->ack_ms * KQ_MS + (KqTime)random_below (flow, caller->ack_ms * KQ_MS / 2 + 1);
  flow->retransmit_at = now + flow->retransmit_interval;
  flow->due = flow->started_at + caller->deadline_ms * KQ_MS;
  caller_flow_send (flow, &message);
}

static void
begin_request (CallerFlow *flow, KqTime now)
{
  flow->request++;
  flow->caller->counts.requests++;
  flow->posting = flow->workload != WORKLOAD_DOWNLOADS && random_below (flow, 100) < POST_PERCENT;
  if (flow->posting)
    flow->caller->counts.marks++;
  if (!flow->caller->reuse_echo)
    flow->echo_size = 0;
  flow->started_at = now;
  send_attempt (flow, now);
}

static void
record_outcome (CallerFlow *flow, const char *outcome)
{
  char operation[TEXT_BYTES];
  if (flow->posting)
    journal_write (&flow->caller->journal, outcome, operation_name (flow, operation));
}

static void
end_request (CallerFlow *flow, KqTime now, uint64_t *count, const char *outcome)
{
  (*count)++;
  record_outcome (flow, outcome);
  flow->state = FLOW_IDLE;
  flow->due = now + (KqTime)random_below (flow, (uint64_t)flow->caller->think_ms * 2 * KQ_MS + 1);
}

/* Returns whether a 2.xx answer to the open request is complete and correct. */
static bool
is_complete (CallerFlow *flow, const KqCoapMessage *message, const ContentHead *head)
{
  const uint8_t *body = message->payload + CONTENT_HEAD_BYTES;
  size_t size = message->payload_size - CONTENT_HEAD_BYTES;
  char expected[TEXT_BYTES + 8];
  char operation[TEXT_BYTES];
  if (head->request != flow->request)
    {
      flow->caller->counts.crossed++;
      return false;
    }
  if (flow->workload == WORKLOAD_DOWNLOADS)
    return message->block2.present && message->block2.num == flow->block &&
           size == CONTENT_BLOCK - CONTENT_HEAD_BYTES &&
           content_check_file (flow->file, flow->block * CONTENT_BLOCK + CONTENT_HEAD_BYTES, body,
                               size);
  if (flow->posting)
    snprintf (expected, sizeof expected, "done %s", operation_name (flow, operation));
  else if (flow->workload == WORKLOAD_MARKS)
    snprintf (expected, sizeof expected, "state of marks/%u", flow->request);
  else
    snprintf (expected, sizeof expected, "state of availability");
  return size == strlen (expected) && memcmp (body, expected, size) == 0;
}

static void
next_block (CallerFlow *flow, const KqCoapMessage *message)
{
  flow->block++;
  if (message->block2.more)
    return;
  if (flow->block != CONTENT_FILE_BLOCKS)
    flow->caller->counts.half++;
  else
    flow->caller->counts.files++;
  flow->block = 0;
  flow->file = (uint32_t)random_below (flow, FILE_COUNT);
}

static void
handle_success (CallerFlow *flow, const KqCoapMessage *message, KqTime now)
{
  Caller *caller = flow->caller;
  ContentHead head;
  if (!caller_flow_check_head (flow, message, &head))
    return;
  if (!is_complete (flow, message, &head))
    {
      caller->counts.half++;
      journal_write (&caller->journal, "half", flow->name);
      return;
    }
  if (flow->workload == WORKLOAD_DOWNLOADS)
    next_block (flow, message);
  if (caller->latency_count < LATENCIES_MAX)
    caller->latency_us[caller->latency_count++] = (uint32_t)(now - flow->started_at);
  end_request (flow, now, &caller->counts.whole, "answered");
}

static void
handle_refusal (CallerFlow *flow, const KqCoapMessage *message, KqTime now)
{
  CallerCounts *counts = &flow->caller->counts;
  KqTime wait = message->max_age * KQ_SECOND + (KqTime)random_below (flow, BACKOFF_JITTER);
  bool in_time = now + wait < flow->started_at + flow->caller->deadline_ms * KQ_MS;
  bool in_budget =
      counts->retries <
      RETRY_BUDGET_MIN + counts->requests * (uint64_t)flow->caller->budget_percent / 100;
  if (!in_time || !in_budget || flow->caller->closing)
    {
      end_request (flow, now, &counts->refused, "refused");
      return;
    }
  counts->retries++;
  flow->state = FLOW_BACKOFF;
  flow->due = now + wait;
}

static void
handle_challenge (CallerFlow *flow, const KqCoapMessage *message, KqTime now)
{
  flow->caller->counts.challenges++;
  flow->echo_size = message->echo_size;
  memcpy (flow->echo, message->echo, message->echo_size);
  send_attempt (flow, now);
}

static void
handle_response (CallerFlow *flow, const KqCoapMessage *message, KqTime now)
{
  CallerCounts *counts = &flow->caller->counts;
  uint32_t token[2] = { 0, 0 };
  if (message->token_size == sizeof token)
    memcpy (token, message->token, sizeof token);
  uint32_t flow_part = ntohl (token[0]);
  if (message->token_size != sizeof token || flow_part >> 8 != flow->index)
    {
      counts->crossed++;
      journal_write (&flow->caller->journal, "crossed", flow->name);
      return;
    }
  if ((flow_part & 0xff) != (flow->generation & 0xff) || ntohl (token[1]) != flow->attempt ||
      flow->state != FLOW_WAITING)
    {
      counts->late++;
      return;
    }
  if (KQ_COAP_CLASS (message->code) == 2)
    handle_success (flow, message, now);
  else if (message->code == KQ_COAP_SERVICE_UNAVAILABLE)
    handle_refusal (flow, message, now);
  else if (message->code == KQ_COAP_UNAUTHORIZED && message->echo_size > 0)
    handle_challenge (flow, message, now);
  else if (message->code == KQ_COAP_GATEWAY_TIMEOUT)
    end_request (flow, now, &counts->unknown, "unknown");
  else
    end_request (flow, now, &counts->failed, "unknown");
}

static void
on_datagram (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  CallerFlow *flow = data;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  struct sockaddr_in from;
  KqCoapMessage message;
  ssize_t size = net_receive (flow->fd, bytes, sizeof bytes, &from, NULL);
  if (size < 0)
    return;
  if (kq_coap_message_parse (bytes, (size_t)size, &message, NULL) != 0)
    {
      flow->caller->counts.half++;
      return;
    }
  if (message.type == KQ_COAP_CON)
    {
      KqCoapMessage acknowledgement = { .type = KQ_COAP_ACK, .message_id = message.message_id };
      uint8_t out[16];
      int out_size = kq_coap_message_format (&acknowledgement, out, sizeof out);
      net_send (flow->fd, out, (size_t)out_size, &flow->caller->fabric, NULL);
    }
  KqTime now = standin_now ();
  if (message.code == KQ_COAP_EMPTY)
    {
      /* The response is sent separately. A retransmission after four more intervals recovers it if
         it is lost. */
      if (message.type == KQ_COAP_ACK && message.message_id == flow->message_id)
        flow->retransmit_at = now + flow->retransmit_interval * 4;
    }
  else if (flow->workload == WORKLOAD_FEED)
    caller_feed_message (flow, &message, now);
  else
    handle_response (flow, &message, now);
}

/* Ports are not reused, so that a late answer is not taken for the answer to another flow. */
static int
open_socket (Caller *caller)
{
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr = caller->ip };
  int fd = -1;
  while (fd < 0)
    {
      if (caller->ports_used == SOURCE_PORTS_MAX)
        standin_fail ("ports", "use fewer flows or longer flow durations in one process");
      local.sin_port = htons ((uint16_t)(SOURCE_PORT_FIRST + caller->ports_used++));
      fd = net_udp_try (&local);
    }
  return fd;
}

static void
begin_flow (CallerFlow *flow, KqTime now)
{
  Caller *caller = flow->caller;
  flow->fd = open_socket (caller);
  flow->event =
      tevent_add_fd (caller->standin->ev, flow, flow->fd, TEVENT_FD_READ, on_datagram, flow);
  flow->next_id = (uint16_t)random_below (flow, UINT16_MAX);
  flow->file = (uint32_t)random_below (flow, FILE_COUNT);
  flow->due = now + (KqTime)random_below (flow, (uint64_t)caller->think_ms * 2 * KQ_MS + 1);
  flow->ends_at = KQ_NEVER;
  if (caller->flow_lifetime_ms > 0)
    flow->ends_at = now + caller->flow_lifetime_ms * KQ_MS / 2 +
                    (KqTime)random_below (flow, (uint64_t)caller->flow_lifetime_ms * KQ_MS);
  format_flow_name (flow);
}

CallerFlow *
caller_flow_new (Caller *caller, unsigned index, Workload workload)
{
  CallerFlow *flow = talloc_zero (caller->standin, CallerFlow);
  flow->caller = caller;
  flow->index = index;
  flow->workload = workload;
  begin_flow (flow, standin_now ());
  return flow;
}

static void
replace_flow (CallerFlow *flow, KqTime now)
{
  CallerFlow fresh = { .caller = flow->caller,
                       .index = flow->index,
                       .workload = flow->workload,
                       .generation = flow->generation + 1 };
  caller_flow_close (flow);
  TALLOC_FREE (flow->event);
  close (flow->fd);
  *flow = fresh;
  begin_flow (flow, now);
}

static void
retransmit_request (CallerFlow *flow, KqTime now)
{
  flow->caller->counts.repeats++;
  flow->retransmit_interval *= RETRANSMIT_BACKOFF;
  flow->retransmit_at = now + flow->retransmit_interval;
  net_send (flow->fd, flow->bytes, flow->size, &flow->caller->fabric, NULL);
}

static void
expire_request (CallerFlow *flow, KqTime now)
{
  end_request (flow, now, &flow->caller->counts.unanswered, "unanswered");
  if (flow->established)
    {
      flow->caller->counts.silent++;
      caller_flow_break (flow, "unanswered");
    }
}

void
caller_flow_tick (CallerFlow *flow, KqTime now)
{
  if (flow->workload == WORKLOAD_FEED)
    {
      caller_feed_tick (flow, now);
      return;
    }
  switch (flow->state)
    {
    case FLOW_IDLE:
      if (flow->caller->closing || now < flow->due)
        return;
      if (now > flow->ends_at)
        replace_flow (flow, now);
      else
        begin_request (flow, now);
      break;
    case FLOW_WAITING:
      if (now >= flow->due)
        expire_request (flow, now);
      else if (now >= flow->retransmit_at && !flow->caller->non_confirmable)
        retransmit_request (flow, now);
      break;
    case FLOW_BACKOFF:
      if (now >= flow->due)
        send_attempt (flow, now);
      break;
    }
}
