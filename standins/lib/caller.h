/* Simulated flows of callers. A flow sends one request at a time and checks each answer; a feed
 * checks that notifications keep arriving. */
#pragma once

#include "content.h"
#include "journal.h"
#include "kumquat/coap_message.h"
#include "standin.h"

#include <netinet/in.h>

#define LATENCIES_MAX 400000

/**
 * struct CallerCounts - results seen by the callers of one process
 * @whole: requests with a complete, correct answer
 * @refused: requests refused with 5.03 and not retried
 * @unknown: requests answered 5.04: they may have run
 * @unanswered: requests without an answer before their deadline
 * @requests: requests started; each ends in one of the counters above or in @failed
 * @marks: requests with side effects (POST)
 * @retries: attempts after a refusal
 * @repeats: retransmissions of the same datagram
 * @challenges: answers that asked for an Echo option
 * @late: answers to an earlier attempt or an earlier flow of the same slot
 * @wrong_service: answers from a target of another service
 * @crossed: answers that belong to another flow or request
 * @half: malformed or incomplete messages
 * @failed: requests answered with any other error
 * @files: files downloaded completely
 * @notifications: notifications of feeds
 * @flows_opened: flows that got a first answer
 * @flows_kept: flows that ended unbroken
 * @flows_broken: flows whose target changed or that got no answer
 * @moved: answers from another target, or another process of it, than the flow's previous answer
 * @silent: established flows that got no answer, feeds that got no notification
 * @feeds: feeds with at least one notification
 * @feeds_broken: those of @flows_broken that are feeds
 */
typedef struct
{
  uint64_t whole;
  uint64_t refused;
  uint64_t unknown;
  uint64_t unanswered;
  uint64_t requests;
  uint64_t marks;
  uint64_t retries;
  uint64_t repeats;
  uint64_t challenges;
  uint64_t late;
  uint64_t wrong_service;
  uint64_t crossed;
  uint64_t half;
  uint64_t failed;
  uint64_t files;
  uint64_t notifications;
  uint64_t flows_opened;
  uint64_t flows_kept;
  uint64_t flows_broken;
  uint64_t moved;
  uint64_t silent;
  uint64_t feeds;
  uint64_t feeds_broken;
} CallerCounts;

typedef enum
{
  WORKLOAD_MARKS,     /* service scoring: POST marks, GET marks/N */
  WORKLOAD_RENTALS,   /* service utleie: POST reservations, GET availability */
  WORKLOAD_DOWNLOADS, /* services media and dokument: complete files, block by block */
  WORKLOAD_FEED       /* service scoring: observes the board */
} Workload;

/**
 * struct Caller - state of one process that simulates the callers of one service
 * @ports_used: source ports used so far; none is reused
 * @fabric: address that requests are sent to
 * @ack_ms: wait before the first retransmission
 * @think_ms: mean pause between two requests of a flow
 * @budget_percent: retries allowed per 100 requests
 * @flow_lifetime_ms: mean duration of a flow; 0 if flows last as long as the process
 * @reuse_echo: send the last Echo value again instead of waiting for a new challenge
 * @closing: no new requests; the process ends when no request is open
 * @latency_us: (array): time from the first datagram of a request to its complete answer
 */
typedef struct
{
  Standin *standin;
  const char *name;
  const char *service;
  struct in_addr ip;
  unsigned ports_used;
  struct sockaddr_in fabric;
  int ack_ms;
  int deadline_ms;
  int think_ms;
  int budget_percent;
  int flow_lifetime_ms;
  int reuse_echo;
  int non_confirmable;
  bool closing;
  Journal journal;
  CallerCounts counts;
  uint32_t *latency_us;
  unsigned latency_count;
} Caller;

typedef enum
{
  FLOW_IDLE,
  FLOW_WAITING,
  FLOW_BACKOFF
} FlowState;

/**
 * struct CallerFlow - one flow with its own socket and at most one open request
 * @generation: number of earlier flows in the same slot
 * @ends_at: when the flow is replaced by a new one, once it is idle
 * @established: an answer arrived; @target and @incarnation say from which target process
 * @broken: the flow was counted as broken
 * @attempt: attempt number in the token of the open request
 * @request: request number, the same in all attempts
 * @posting: the open request is a POST
 * @started_at: when the first attempt of the open request was sent
 * @due: when the timer of @state expires
 * @retransmit_at: when the open request is retransmitted
 * @retransmit_interval: current retransmission interval
 * @file: number of the file being downloaded
 * @block: next block of @file
 * @bytes: the datagram last sent, for retransmission
 * @last_notification_at: when the last notification arrived
 * @last_renewal_at: when the observation was last registered
 * @feed_established: at least one notification arrived
 */
typedef struct
{
  Caller *caller;
  unsigned index;
  Workload workload;
  int fd;
  struct tevent_fd *event;
  char name[CONTENT_ID_BYTES];
  unsigned generation;
  KqTime ends_at;
  bool established;
  bool broken;
  char target[CONTENT_ID_BYTES];
  uint32_t incarnation;
  FlowState state;
  uint32_t attempt;
  uint32_t request;
  bool posting;
  KqTime started_at;
  KqTime due;
  KqTime retransmit_at;
  KqTime retransmit_interval;
  uint16_t message_id;
  uint16_t next_id;
  uint8_t echo[KQ_COAP_ECHO_BYTES];
  uint8_t echo_size;
  uint32_t file;
  uint32_t block;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  size_t size;
  KqTime last_notification_at;
  KqTime last_renewal_at;
  bool feed_established;
} CallerFlow;

/** caller_flow_new - opens a flow; it starts its first request within twice the mean think time */
CallerFlow *caller_flow_new (Caller *caller, unsigned index, Workload workload);

/** caller_flow_tick - handles expired timers */
void caller_flow_tick (CallerFlow *flow, KqTime now);

/** caller_flow_close - counts the flow as kept unless it broke */
void caller_flow_close (CallerFlow *flow);

/** caller_flow_break - counts a flow as broken, at most once, and journals @why */
void caller_flow_break (CallerFlow *flow, const char *why);

/**
 * caller_flow_check_head - checks which target sent an answer; a change of target breaks the flow
 *
 * Return: whether the answer is for this flow and from a target of the requested service.
 */
bool caller_flow_check_head (CallerFlow *flow, const KqCoapMessage *message, ContentHead *head);

/** caller_flow_send - formats a message and sends it from the flow's socket */
void caller_flow_send (CallerFlow *flow, const KqCoapMessage *message);

/** caller_feed_tick - renews the observation; breaks a feed whose notifications stopped */
void caller_feed_tick (CallerFlow *flow, KqTime now);

/** caller_feed_message - handles a received message of a feed */
void caller_feed_message (CallerFlow *flow, const KqCoapMessage *message, KqTime now);
