/* Discovers members through the directory in the store, and keeps that directory up to date. */
#pragma once

#include <tevent.h>

#include "kumquat/control.h"
#include "kumquat/internal/agent_history.h"
#include "kumquat/store.h"

typedef struct KqStreamDirectory KqStreamDirectory;

/**
 * kq_stream_directory_new - reads the directory and contacts members that it lists
 * @store: (borrowed): must outlive the directory
 * @control: (borrowed): must outlive the directory
 * @agent_history: (borrowed): must outlive the directory, which is merged into it
 *
 * Return: (owned by @parent) the directory, or NULL with @error set.
 */
KqStreamDirectory *kq_stream_directory_new (const void *parent, struct tevent_context *ev,
                                            KqStore *store, KqControl *control,
                                            KqAgentHistory *agent_history, KqError *error);

/** kq_stream_directory_members_changed - schedules a write if the directory is outdated; called
 * after the agent history was updated with the members */
void kq_stream_directory_members_changed (KqStreamDirectory *directory);

/** kq_stream_directory_store_recovered - repeats a failed read at once, and reads again when the
 * store was restored; called when the store has answered another call */
void kq_stream_directory_store_recovered (KqStreamDirectory *directory);

/** kq_stream_directory_document_received - applies a directory that a peer disseminated */
void kq_stream_directory_document_received (KqStreamDirectory *directory,
                                            const KqDocument *document);

/** kq_stream_directory_inconsistencies - Return: number of entries read that this version would not
 * write, by kind */
KqDirectoryInconsistencies kq_stream_directory_inconsistencies (const KqStreamDirectory *directory);
