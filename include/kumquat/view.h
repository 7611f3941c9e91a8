/* What one instance believes about the members and the configuration at one moment. */
#pragma once

#include "kumquat/types.h"

typedef enum
{
  KQ_ROLE_BALANCER,
  KQ_ROLE_AGENT
} KqRole;

/**
 * enum KqMemberState - liveness as the failure detector sees it
 */
typedef enum
{
  KQ_MEMBER_ALIVE,
  KQ_MEMBER_SUSPECT,
  KQ_MEMBER_DEAD,
  KQ_MEMBER_LEFT
} KqMemberState;

/**
 * enum KqTargetPhase - what an agent says of its target
 * @KQ_PHASE_STARTING: announced, does not take flows yet
 * @KQ_PHASE_SERVING: takes new flows
 * @KQ_PHASE_DRAINING: keeps its flows, takes no new ones
 * @KQ_PHASE_EMPTY: has ended: it holds no flows any more
 */
typedef enum
{
  KQ_PHASE_STARTING,
  KQ_PHASE_SERVING,
  KQ_PHASE_DRAINING,
  KQ_PHASE_EMPTY
} KqTargetPhase;

/**
 * struct KqMember - what membership spreads about one instance
 * @peer: identity, incarnation and data address
 * @control: address of its control ports (UDP for probes, TCP for ZeroMQ)
 * @role: balancer or agent
 * @state: liveness
 * @phase: for an agent, what it says of its target
 * @service: for an agent, the service's number
 * @weight: for an agent, relative share of the flows (1 to 1000, default 100)
 * @name: unique name from the settings
 * @failure_domain: from the settings
 */
typedef struct
{
  KqPeer peer;
  KqAddress control;
  KqRole role;
  KqMemberState state;
  KqTargetPhase phase;
  uint32_t service;
  uint16_t weight;
  char name[KQ_NAME_BYTES];
  char failure_domain[KQ_NAME_BYTES];
} KqMember;

/**
 * struct KqService - one service's configuration in force
 * @number: unique, never reused
 * @revision: version of this document
 * @name: unique name
 * @protocol: what promises apply
 * @port: the port on which every balancer takes this service's datagrams
 * @slots: requests that run at once in one target
 * @connections: flows that one target holds at once
 * @deadline_ms: how long a request may take when its caller states nothing
 * @drain_limit_ms: how long a leaving target may keep flows; 0 means without limit
 * @slo_permille: share of requests that must be answered in time
 * @slo_latency_ms: what in time means
 * @removed: the service is gone; its number stays taken
 * @denied: (array): names of targets and failure domains that take no new flows, drained
 * @denied_count: length of @denied
 * @denied_limit_ms: (array): how long the entry of @denied may keep its flows; 0 means
 *   @drain_limit_ms
 * @weights: (array): weights that operators set; a target without one keeps what it announces
 * @weight_count: length of @weights
 * @worths: (array): worth of one answered request by class, which callers name as class=NAME
 * @worth_count: length of @worths; a class without an entry is worth 1
 */
#define KQ_DENIED_MAX  64
#define KQ_WEIGHTS_MAX 64
#define KQ_WORTHS_MAX  16
#define KQ_WEIGHT_MAX  1000
typedef enum
{
  KQ_PROTOCOL_COAP,
  KQ_PROTOCOL_UDP
} KqProtocol;

/**
 * struct KqTargetWeight - relative share of the flows that operators give one target
 */
typedef struct
{
  char target[KQ_NAME_BYTES];
  uint16_t weight;
} KqTargetWeight;

/**
 * struct KqClassWorth - worth of one answered request of a class, relative to other classes
 */
typedef struct
{
  char class_name[KQ_NAME_BYTES];
  uint32_t worth;
} KqClassWorth;

typedef struct
{
  uint32_t number;
  KqRevision revision;
  char name[KQ_NAME_BYTES];
  KqProtocol protocol;
  uint16_t port;
  uint32_t slots;
  uint32_t connections;
  uint32_t deadline_ms;
  uint32_t drain_limit_ms;
  uint32_t slo_permille;
  uint32_t slo_latency_ms;
  bool removed;
  char denied[KQ_DENIED_MAX][KQ_NAME_BYTES];
  unsigned denied_count;
  uint32_t denied_limit_ms[KQ_DENIED_MAX];
  KqTargetWeight weights[KQ_WEIGHTS_MAX];
  unsigned weight_count;
  KqClassWorth worths[KQ_WORTHS_MAX];
  unsigned worth_count;
} KqService;

/**
 * struct KqServiceView - the targets of one service as one instance sees them
 * @service: (borrowed): the configuration in force
 * @targets: (borrowed) (array): agents of this service that are neither dead nor left, by id
 * @count: length of @targets
 *
 * A target takes new flows when it is alive or suspect, its phase is serving, and the service's
 * configuration does not deny its name or its failure domain.
 */
typedef struct
{
  const KqService *service;
  const KqMember *targets;
  unsigned count;
} KqServiceView;

/** kq_service_admits - Return: whether the configuration lets @target take new flows */
bool kq_service_admits (const KqService *service, const KqMember *target);

/** kq_service_weight - Return: the weight that operators set for @target, else what it announces */
unsigned kq_service_weight (const KqService *service, const KqMember *target);

/** kq_service_drain_limit_ms - Return: how long @target, which is denied, may keep its flows; 0
 * means without limit */
uint32_t kq_service_drain_limit_ms (const KqService *service, const KqMember *target);

/** kq_service_worth - Return: worth of one answered request of class @class_name */
uint32_t kq_service_worth (const KqService *service, const char *class_name);

/**
 * kq_name_check - checks a name of a service, target or failure domain
 *
 * Return: 0, or -1 with @error set; a name has 1 to 31 lower-case letters, digits and hyphens.
 */
int kq_name_check (const char *name, KqError *error);

/** kq_service_check - Return: 0 when every field is in its range, or -1 with @error set */
int kq_service_check (const KqService *service, KqError *error);
