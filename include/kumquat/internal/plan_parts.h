/* Parts of a plan that the files plan*.c share. */
#pragma once

#include <jansson.h>

#include "kumquat/plan.h"

/**
 * struct KqPlanChange - one touched service
 * @base: (nullable) (borrowed): what the store holds; NULL when it holds nothing
 * @before: (nullable) (borrowed): what the plan starts from; NULL for a new service. It is what is
 * in force when the store holds something older, because it was restored
 * @after: what the plan asks for
 */
typedef struct
{
  const KqPlanBase *base;
  const KqService *before;
  KqService after;
} KqPlanChange;

/**
 * struct KqPlanNotes - what the operator has to know; both are JSON arrays
 */
typedef struct
{
  json_t *warnings;
  json_t *refusals;
} KqPlanNotes;

/** kq_service_diff - Return: (owned by the caller) array of {"field", "from", "to"}; @before may be
 * NULL */
json_t *kq_service_diff (const KqService *before, const KqService *after);

/** kq_plan_effects - Return: (owned by the caller) what a change does; adds to @notes */
json_t *kq_plan_effects (const KqPlanInput *input, const KqPlanChange *change, KqPlanNotes *notes);

/** kq_plan_warn - adds a warning */
void kq_plan_warn (KqPlanNotes *notes, const char *service, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** kq_plan_refuse - adds a refusal: what promise it would break, and the remedy */
void kq_plan_refuse (KqPlanNotes *notes, const char *service, const char *what, const char *remedy);

/** kq_plan_digest - Return: @out, the digest of @root without its member "digest" */
const char *kq_plan_digest (const json_t *root, char out[KQ_DIGEST_BYTES]);

/** kq_plan_document - Return: (owned by the caller) the document that a change writes */
json_t *kq_plan_document (const KqPlanChange *change, const char *operation);
