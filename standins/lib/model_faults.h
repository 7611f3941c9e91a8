/* Random schedules of requests and faults for the simulation in model_world.h. */
#pragma once

#include "model_world.h"

#define KQ_MODEL_FAULTS_END (70 * KQ_SECOND) /* after the last delayed datagram */

/**
 * kq_model_faults_params - parameters of a simulation with every kind of fault
 * @seed: seed of the simulation and of the schedule
 * @disable: rules of the request guard to disable
 *
 * Lifetimes of the guard's state are short, so that duplicates also arrive after they expired.
 */
KqModelParams kq_model_faults_params (uint64_t seed, unsigned disable);

/** kq_model_faults_run - simulates requests under faults until KQ_MODEL_FAULTS_END; Return:
 * result of the check */
KqModelCheck kq_model_faults_run (uint64_t seed, unsigned disable);

/** kq_model_check_add - adds the counts of one simulation to a sum */
void kq_model_check_add (KqModelCheck *sum, const KqModelCheck *check);
