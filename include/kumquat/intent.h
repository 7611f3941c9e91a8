/* Operators' intents: each requests one change of one service's configuration. */
#pragma once

#include "kumquat/view.h"

#define KQ_INTENTS_MAX 64

/**
 * enum KqIntentKind - kind of the requested change
 * @KQ_INTENT_CREATE: create a service with the given settings and defaults for the others
 * @KQ_INTENT_CHANGE: change the given settings
 * @KQ_INTENT_REPLACE: replace all settings by those of a file, with defaults for the others; the
 *   service is created if it does not exist
 * @KQ_INTENT_REMOVE: remove the service; its number is not reused
 * @KQ_INTENT_DRAIN: stop new flows to a target or failure domain; @value is the drain limit in
 *   milliseconds, 0 means the limit of the service
 * @KQ_INTENT_JOIN: admit new flows to a drained target or failure domain again
 * @KQ_INTENT_WEIGHT: set the weight of a target to @value; 0 means the weight it announces
 * @KQ_INTENT_WORTH: set the worth of an answered request of class @name to @value
 * @KQ_INTENT_MOVE: reduce the weights in failure domain @name by @value percent, which moves that
 *   share of its flows to other domains; 100 drains it, 0 restores the announced weights
 * @KQ_INTENT_RESTORE: change no setting; after the store was restored to an older state, write the
 *   configuration in force to it
 * @KQ_INTENT_UNDO: restore the configuration before the last change of the service
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

/* Bits of KqIntent.fields. */
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
 * struct KqIntent - one requested change
 * @kind: kind of the change
 * @service: name of the service
 * @name: target, failure domain or class
 * @value: see KqIntentKind
 * @fields: KQ_FIELD_ bits of the members of @settings that are set
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
 * struct KqIntentList - intents of one plan
 * @intents: (array): the intents, in order
 * @count: length of @intents
 * @is_complete: the list states the complete configuration: services that it does not name are
 * removed
 */
typedef struct
{
  KqIntent *intents;
  unsigned count;
  bool is_complete;
} KqIntentList;

/**
 * kq_intents_parse - parses a request for a plan
 *
 * {"intents": [{"kind": "drain", "service": "scoring", "name": "bole", "value": 60000}]} or, for
 * the complete configuration, {"services": {"scoring": {"port": 5683}}}.
 *
 * Return: (owned by @parent) the list, or NULL with @error set.
 */
KqIntentList *kq_intents_parse (const void *parent, const char *text, size_t size, KqError *error);

/**
 * kq_intent_apply - applies @intent to @service; not for KQ_INTENT_UNDO
 * @members: (borrowed) (array): members whose targets KQ_INTENT_MOVE searches by failure domain
 *
 * Return: 0, or -1 with @error set; @service is then undefined.
 */
int kq_intent_apply (const KqIntent *intent, const KqMember *members, unsigned member_count,
                     KqService *service, KqError *error);
