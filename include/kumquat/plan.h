/* Computes the effects of operators' intents as a plan, and parses a plan for confirmation. */
#pragma once

#include "kumquat/intent.h"

#define KQ_OPERATION_BYTES   33 /* 128 bits in hexadecimal, and the terminating NUL */
#define KQ_DIGEST_BYTES      65 /* 32-byte BLAKE2b hash in hexadecimal, and the NUL */
#define KQ_PLAN_SERVICES_MAX 32 /* the store limits a transaction to 128 operations */
#define KQ_OPERATIONS_KEPT   8  /* newest operations recorded in a document */
#define KQ_STORE_CLAIMS      "/kumquat/v1/claims/"

/**
 * struct KqPlanBase - a service as stored
 * @service: its configuration; the revision is the key's modification revision
 * @previous: its configuration before the last change
 * @has_previous: whether @previous is set
 * @operations: (array): ids of the operations that wrote the document, newest first
 * @operation_count: length of @operations
 */
typedef struct
{
  KqService service;
  KqService previous;
  bool has_previous;
  char operations[KQ_OPERATIONS_KEPT][KQ_OPERATION_BYTES];
  unsigned operation_count;
} KqPlanBase;

/**
 * struct KqPlanClaim - reservation of a name or port for one service
 * @key: (borrowed): key in the store, under KQ_STORE_CLAIMS
 * @mod_revision: the key's modification revision
 */
typedef struct
{
  const char *key;
  uint64_t mod_revision;
} KqPlanClaim;

/**
 * struct KqTargetWorkload - current load of a target, as reported by its agent
 */
typedef struct
{
  char name[KQ_NAME_BYTES];
  uint64_t flows;
  uint64_t running;
  uint64_t waiting;
} KqTargetWorkload;

/**
 * struct KqPlanInput - state that a plan is computed from; all pointers are borrowed
 * @bases: (array): stored services that the plan may touch
 * @claims: (array): stored claims that the plan may touch
 * @members: (array): live members
 * @workload: (array): load of the targets whose agent answered
 * @services_in_force: (array): services in force, for detecting port conflicts and a restored store
 * @operation: unique id of the operation
 * @number: number for the first new service; further ones count up from it
 */
typedef struct
{
  const KqPlanBase *bases;
  unsigned base_count;
  const KqPlanClaim *claims;
  unsigned claim_count;
  const KqMember *members;
  unsigned member_count;
  const KqTargetWorkload *workload;
  unsigned workload_count;
  const KqService *const *services_in_force;
  unsigned services_in_force_count;
  const char *operation;
  uint32_t number;
} KqPlanInput;

/** kq_plan_base_parse - parses a service's document and its history; Return: 0, or -1 with @error
 * set */
int kq_plan_base_parse (const uint8_t *bytes, size_t size, uint64_t mod_revision, KqPlanBase *base,
                        KqError *error);

/**
 * kq_plan_new - computes a plan
 *
 * A plan that would violate a guarantee lists refusals with their remedies and cannot be confirmed.
 *
 * Return: (owned by @parent) the plan as canonical JSON with its digest, or NULL with @error set
 * when an intent is invalid for the current configuration.
 */
char *kq_plan_new (const void *parent, const KqPlanInput *input, const KqIntentList *list,
                   KqError *error);

/**
 * struct KqPlanWrite - write of one key by a confirmed plan
 * @key: the key
 * @value: the new value
 * @expected: modification revision the plan is based on; 0 means that the key must not exist
 * @service: name of the service
 * @base: (nullable): JSON of the configuration the plan is based on
 */
typedef struct
{
  char *key;
  char *value;
  uint64_t expected;
  char *service;
  char *base;
} KqPlanWrite;

/**
 * struct KqPlanWrites - writes of a verified plan, applied in one transaction
 * @operation: id of the operation
 * @digest: the plan's digest
 * @writes: (array): documents, followed by claims
 * @count: length of @writes
 */
typedef struct
{
  char operation[KQ_OPERATION_BYTES];
  char digest[KQ_DIGEST_BYTES];
  KqPlanWrite *writes;
  unsigned count;
} KqPlanWrites;

/** kq_plan_parse - verifies the digest of a plan and validates its documents; Return: (owned by
 * @parent) its writes, or NULL with @error set */
KqPlanWrites *kq_plan_parse (const void *parent, const char *text, size_t size, KqError *error);

/** kq_plan_document_has_operation - Return: whether the document @value records @operation */
bool kq_plan_document_has_operation (const uint8_t *value, size_t size, const char *operation);

/** kq_plan_difference - Return: (owned by @parent) one line that lists the changes from @base to
 * @present, two documents of one service */
char *kq_plan_difference (const void *parent, const char *base, const uint8_t *present,
                          size_t size);
