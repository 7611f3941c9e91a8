/* Members and configuration as one instance knows them at a given time. */
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
 * enum KqTargetPhase - phase of a target, as its agent announces it
 * @KQ_PHASE_STARTING: announced, does not accept flows yet
 * @KQ_PHASE_SERVING: accepts new flows
 * @KQ_PHASE_DRAINING: keeps its flows, accepts no new ones
 * @KQ_PHASE_EMPTY: has ended and owns no flows any more
 * @KQ_PHASE_UNKNOWN: the agent stops before its target has reported, so the target may own flows;
 *   sent as KQ_PHASE_STARTING, which older releases can read
 */
typedef enum
{
  KQ_PHASE_STARTING,
  KQ_PHASE_SERVING,
  KQ_PHASE_DRAINING,
  KQ_PHASE_EMPTY,
  KQ_PHASE_UNKNOWN
} KqTargetPhase;

/**
 * struct KqMember - what the membership protocol disseminates about one instance
 * @peer: identity, incarnation and data address
 * @control: address of its control ports (UDP for probes, TCP for ZeroMQ)
 * @role: balancer or agent
 * @state: liveness
 * @phase: for an agent, the phase of its target
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
 * struct KqService - configuration of one service that is in force
 * @number: unique, never reused
 * @revision: version of this document
 * @name: unique name
 * @protocol: determines which delivery guarantees apply
 * @port: the port on which every balancer receives this service's datagrams
 * @slots: requests that run at the same time in one target
 * @connections: flows that one target owns at the same time
 * @deadline_ms: deadline of a request whose caller states none
 * @drain_limit_ms: how long a leaving target may keep flows; 0 means no limit
 * @slo_permille: share of requests, per thousand, that must be answered within @slo_latency_ms
 * @slo_latency_ms: latency bound of the service level objective
 * @removed: the service was removed; its number stays reserved
 * @denied: (array): names of targets and failure domains that are drained and accept no new flows
 * @denied_count: length of @denied
 * @denied_limit_ms: (array): how long the entry of @denied may keep its flows; 0 means
 *   @drain_limit_ms
 * @weights: (array): weights that operators set; a target without one keeps its announced weight
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
 * struct KqTargetWeight - relative share of the flows that an operator set for one target
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
 * struct KqServiceView - the targets of one service as one instance knows them
 * @service: (borrowed): the configuration in force
 * @targets: (borrowed) (array): agents of this service that are neither dead nor left, by id
 * @count: length of @targets
 *
 * A target accepts new flows if it is alive or suspect, its phase is serving, and the service's
 * configuration does not deny its name or its failure domain.
 */
typedef struct
{
  const KqService *service;
  const KqMember *targets;
  unsigned count;
} KqServiceView;

/** kq_service_admits - Return: whether the configuration lets @target accept new flows */
bool kq_service_admits (const KqService *service, const KqMember *target);

/** kq_service_weight - Return: the weight that operators set for @target, else the announced one */
unsigned kq_service_weight (const KqService *service, const KqMember *target);

/**
 * kq_service_drain_limit_ms - Return: how long @target, which is denied, may keep its flows; 0
 * means no limit
 */
uint32_t kq_service_drain_limit_ms (const KqService *service, const KqMember *target);

/** kq_service_worth - Return: worth of one answered request of class @class_name */
uint32_t kq_service_worth (const KqService *service, const char *class_name);

/**
 * kq_name_check - validates the name of a service, target or failure domain
 *
 * Return: 0, or -1 with @error set; a name has 1 to 31 lower-case letters, digits and hyphens.
 */
int kq_name_check (const char *name, KqError *error);

/** kq_service_check - Return: 0 if every field is in its range, or -1 with @error set */
int kq_service_check (const KqService *service, KqError *error);
