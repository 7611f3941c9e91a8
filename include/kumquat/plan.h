/* Works out what intents would do, and reads a plan back when it is confirmed. */
#pragma once

#include "kumquat/intent.h"

#define KQ_OPERATION_BYTES   33 /* 128 bits in hexadecimal, with the NUL */
#define KQ_DIGEST_BYTES      65 /* BLAKE2b of 32 bytes in hexadecimal, with the NUL */
#define KQ_PLAN_SERVICES_MAX 32 /* a transaction of the store takes 128 operations */
#define KQ_OPERATIONS_KEPT   8  /* newest operations that a document names */
#define KQ_STORE_CLAIMS      "/kumquat/v1/claims/"

/**
 * struct KqPlanBase - one service as the store holds it
 * @service: its document; the revision is the key's modification revision
 * @previous: what it was before its last change
 * @has_previous: there was something before
 * @operations: (array): operations that wrote it, newest first
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
 * struct KqPlanClaim - a name or port that one service has taken
 * @key: (borrowed): key in the store, under KQ_STORE_CLAIMS
 * @mod_revision: the key's modification revision
 */
typedef struct
{
  const char *key;
  uint64_t mod_revision;
} KqPlanClaim;

/**
 * struct KqTargetWork - what a target has to do right now, as its agent tells
 */
typedef struct
{
  char name[KQ_NAME_BYTES];
  uint64_t flows;
  uint64_t running;
  uint64_t waiting;
} KqTargetWork;

/**
 * struct KqPlanInput - what a plan rests on; everything is borrowed
 * @bases: (array): all services
 * @claims: (array): all claims
 * @members: (array): live members
 * @work: (array): targets whose agent answered
 * @others: (array): services in force, to find a port that is taken
 * @operation: id of the operation, new for each plan
 * @number: number for the first new service; the next ones count up from it
 */
typedef struct
{
  const KqPlanBase *bases;
  unsigned base_count;
  const KqPlanClaim *claims;
  unsigned claim_count;
  const KqMember *members;
  unsigned member_count;
  const KqTargetWork *work;
  unsigned work_count;
  const KqService *const *others;
  unsigned other_count;
  const char *operation;
  uint32_t number;
} KqPlanInput;

/** kq_plan_base_parse - reads a service's document with its history; Return: 0, or -1 with @error
 * set */
int kq_plan_base_parse (const uint8_t *bytes, size_t size, uint64_t mod_revision, KqPlanBase *base,
                        KqError *error);

/**
 * kq_plan_new - works out a plan
 *
 * A plan that would break a promise names its refusals with their remedies and cannot be confirmed.
 *
 * Return: (owned by @parent) the plan as canonical JSON with its digest, or NULL with @error set
 * when the intents do not fit what there is.
 */
char *kq_plan_new (const void *parent, const KqPlanInput *input, const KqIntentList *list,
                   KqError *error);

/**
 * struct KqPlanWrite - one key that a confirmed plan changes
 * @key: the key
 * @value: the new value
 * @expected: modification revision that the plan rests on; 0 means that the key must not exist
 * @service: name of the service
 * @base: (nullable): JSON of the document that the plan rests on
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
 * struct KqPlanWrites - what a plan that was checked asks to write, in one transaction
 * @operation: id of the operation
 * @digest: the plan's digest
 * @writes: (array): the documents first, then the claims
 * @count: length of @writes
 */
typedef struct
{
  char operation[KQ_OPERATION_BYTES];
  char digest[KQ_DIGEST_BYTES];
  KqPlanWrite *writes;
  unsigned count;
} KqPlanWrites;

/** kq_plan_read - checks a plan's digest and every document; Return: (owned by @parent) what it
 * writes, or NULL with @error set */
KqPlanWrites *kq_plan_read (const void *parent, const char *text, size_t size, KqError *error);

/** kq_plan_wrote - Return: whether @value, a service's document, names @operation */
bool kq_plan_wrote (const uint8_t *value, size_t size, const char *operation);

/** kq_plan_difference - Return: (owned by @parent) what changed from @base to @present, documents
 * of one service, as one line */
char *kq_plan_difference (const void *parent, const char *base, const uint8_t *present,
                          size_t size);
