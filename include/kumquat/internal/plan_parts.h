/* Declarations shared by the files plan*.c. */
#pragma once

#include <jansson.h>

#include "kumquat/plan.h"

/**
 * struct KqPlanChange - change of one service
 * @base: (nullable) (borrowed): the service as stored; NULL when it is not stored
 * @before: (nullable) (borrowed): configuration before the change; NULL for a new service. It is
 * the configuration in force when a restored store holds an older one
 * @after: configuration after the change
 */
typedef struct
{
  const KqPlanBase *base;
  const KqService *before;
  KqService after;
} KqPlanChange;

/**
 * struct KqPlanNotes - notices for the operator, as JSON arrays
 */
typedef struct
{
  json_t *warnings;
  json_t *refusals;
} KqPlanNotes;

/** kq_service_diff - Return: (owned by the caller) array of {"field", "from", "to"}; @before may be
 * NULL */
json_t *kq_service_diff (const KqService *before, const KqService *after);

/** kq_plan_effects - Return: (owned by the caller) the effects of a change; adds to @notes */
json_t *kq_plan_effects (const KqPlanInput *input, const KqPlanChange *change, KqPlanNotes *notes);

/** kq_plan_warn - adds a warning */
void kq_plan_warn (KqPlanNotes *notes, const char *service, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** kq_plan_refuse - adds a refusal: the guarantee that would be violated, and the remedy */
void kq_plan_refuse (KqPlanNotes *notes, const char *service, const char *what, const char *remedy);

/** kq_plan_digest - Return: @out, the digest of @root without its member "digest" */
const char *kq_plan_digest (const json_t *root, char out[KQ_DIGEST_BYTES]);

/** kq_plan_document - Return: (owned by the caller) the document that a change writes */
json_t *kq_plan_document (const KqPlanChange *change, const char *operation);
