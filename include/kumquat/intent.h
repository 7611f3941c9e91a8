/* What operators ask for: one change of one service's configuration each. */
#pragma once

#include "kumquat/view.h"

#define KQ_INTENTS_MAX 64

/**
 * enum KqIntentKind - what an operator asks for
 * @KQ_INTENT_CREATE: a new service with the given settings, defaults for the others
 * @KQ_INTENT_CHANGE: other values for the given settings
 * @KQ_INTENT_REPLACE: as the settings of a file state it: the given ones, defaults for the others
 * @KQ_INTENT_REMOVE: the service ends; its number stays taken
 * @KQ_INTENT_DRAIN: a target or failure domain takes no new flows; @value is the limit in
 *   milliseconds, 0 means the service's
 * @KQ_INTENT_JOIN: a target or failure domain that was drained takes new flows again
 * @KQ_INTENT_WEIGHT: a target gets the weight @value; 0 means what it announces
 * @KQ_INTENT_WORTH: an answered request of class @name is worth @value
 * @KQ_INTENT_MOVE: @value percent of the flows leave failure domain @name for the others; at 100 it
 *   is drained
 * @KQ_INTENT_RESTORE: nothing else; after the store was restored, it gets what is in force again
 * @KQ_INTENT_UNDO: as the service was before its last change
 */
typedef enum
{
  KQ_INTENT_CREATE,
  KQ_INTENT_CHANGE,
  KQ_INTENT_REPLACE,
  KQ_INTENT_REMOVE,
  KQ_INTENT_DRAIN,
  KQ_INTENT_JOIN,
  KQ_INTENT_WEIGHT,
  KQ_INTENT_WORTH,
  KQ_INTENT_MOVE,
  KQ_INTENT_RESTORE,
  KQ_INTENT_UNDO
} KqIntentKind;

/* Bits of the settings that an intent gives. */
#define KQ_FIELD_PROTOCOL     (1u << 0)
#define KQ_FIELD_PORT         (1u << 1)
#define KQ_FIELD_SLOTS        (1u << 2)
#define KQ_FIELD_CONNECTIONS  (1u << 3)
#define KQ_FIELD_DEADLINE     (1u << 4)
#define KQ_FIELD_DRAIN_LIMIT  (1u << 5)
#define KQ_FIELD_SLO_PERMILLE (1u << 6)
#define KQ_FIELD_SLO_LATENCY  (1u << 7)
#define KQ_FIELD_DENIED       (1u << 8)
#define KQ_FIELD_WEIGHTS      (1u << 9)
#define KQ_FIELD_WORTHS       (1u << 10)

/**
 * struct KqIntent - one wish
 * @kind: what is asked for
 * @service: name of the service
 * @name: target, failure domain or class
 * @value: see KqIntentKind
 * @fields: which of @settings are given
 * @settings: settings for create, change and replace
 */
typedef struct
{
  KqIntentKind kind;
  char service[KQ_NAME_BYTES];
  char name[KQ_NAME_BYTES];
  uint32_t value;
  uint32_t fields;
  KqService settings;
} KqIntent;

/**
 * struct KqIntentList - what one plan is asked for
 * @intents: (array): the wishes, in order
 * @count: length of @intents
 * @whole: services that no intent names are to be removed
 */
typedef struct
{
  KqIntent *intents;
  unsigned count;
  bool whole;
} KqIntentList;

/**
 * kq_intents_parse - reads a request for a plan
 *
 * {"intents": [{"kind": "drain", "service": "scoring", "name": "bole", "value": 60000}]} or, for
 * the wished-for whole, {"services": {"scoring": {"port": 5683}}}.
 *
 * Return: (owned by @parent) the list, or NULL with @error set.
 */
KqIntentList *kq_intents_parse (const void *parent, const char *text, size_t size, KqError *error);

/**
 * kq_intent_apply - changes @service as @intent asks; not for KQ_INTENT_UNDO
 * @members: (borrowed) (array): for KQ_INTENT_MOVE, to find the failure domain's targets
 *
 * Return: 0, or -1 with @error set; @service is then undefined.
 */
int kq_intent_apply (const KqIntent *intent, const KqMember *members, unsigned member_count,
                     KqService *service, KqError *error);
