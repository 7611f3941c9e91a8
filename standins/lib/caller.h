/* Flows of a caller: requests one after the other, answers checked, feeds watched. */
#pragma once

#include "content.h"
#include "journal.h"
#include "kumquat/coap_message.h"
#include "standin.h"

#include <netinet/in.h>

#define LATENCIES_MAX 400000

/**
 * struct CallerCounts - what the callers saw; each request ends in one of the first four
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
  WORK_MARKS,     /* scoring: marks and lookups of marks */
  WORK_RENTALS,   /* utleie: reservations and availability */
  WORK_DOWNLOADS, /* media, dokument: whole files */
  WORK_FEED       /* scoring: the board */
} Work;

/**
 * struct Caller - one process of callers of one service
 * @closing: no new requests; the process ends when no request is open
 * @latency_us: (array): time from the first datagram of a request to its whole answer
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
  int life_ms;
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
 * struct CallerFlow - one flow: a socket of its own, at most one request open
 * @generation: grows when the flow ends and its place starts another
 * @established: an answer from a target came, which @target and @incarnation name
 * @attempt: number in the token of the datagram that is open
 * @request: number of the request, the same in all its attempts
 * @due: when the state's timer runs out
 */
typedef struct
{
  Caller *caller;
  unsigned index;
  Work work;
  int fd;
  struct tevent_fd *event;
  char name[CONTENT_ID_BYTES];
  unsigned generation;
  KqTime ends;
  bool established;
  bool broken;
  char target[CONTENT_ID_BYTES];
  uint32_t incarnation;
  FlowState state;
  uint32_t attempt;
  uint32_t request;
  bool posting;
  KqTime begun;
  KqTime due;
  KqTime repeat;
  KqTime interval;
  uint16_t message_id;
  uint16_t next_id;
  uint8_t echo[KQ_COAP_ECHO_BYTES];
  uint8_t echo_size;
  uint32_t file;
  uint32_t block;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  size_t size;
  KqTime feed_seen;
  KqTime feed_renewed;
  bool feeding;
} CallerFlow;

/** caller_flow_new - opens a flow; its first request starts within the think time */
CallerFlow *caller_flow_new (Caller *caller, unsigned index, Work work);

/** caller_flow_tick - does what is due */
void caller_flow_tick (CallerFlow *flow, KqTime now);

/** caller_flow_close - counts a flow that ends */
void caller_flow_close (CallerFlow *flow);

/** caller_flow_break - counts a flow as broken, once; @why goes to the journal */
void caller_flow_break (CallerFlow *flow, const char *why);

/**
 * caller_flow_check_head - checks who answered; a change of target breaks the flow
 *
 * Return: whether the answer is one for this flow from a target of the right service.
 */
bool caller_flow_check_head (CallerFlow *flow, const KqCoapMessage *message, ContentHead *head);

/** caller_flow_send - writes and sends a message from the flow's socket */
void caller_flow_send (CallerFlow *flow, const KqCoapMessage *message);

/** caller_feed_tick - renews a feed and breaks it when notifications stay away */
void caller_feed_tick (CallerFlow *flow, KqTime now);

/** caller_feed_message - takes a datagram of a feed */
void caller_feed_message (CallerFlow *flow, const KqCoapMessage *message, KqTime now);
