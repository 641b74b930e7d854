import { controlMutations } from './controlMutations.js';
import { consensusMutations } from './consensusMutations.js';
import type { Mutation } from './mutation.js';

const proxy = 'programs/proxy/dist/src';
const controller = 'programs/controller/dist/src';
const store = 'programs/store/dist/src';
const consensus = 'packages/consensus/dist/src';
const membership = 'packages/membership/dist/src';
const rateLimit = 'packages/rate-limit/dist/src';
/** Drawn cases of replicas that fail in any way, over the proxy's exchanges with scripted connections. */
const exchanges = 'programs/proxy/dist/test/proxyHandler.property.test.js';
/** The same of batch items, which run again under their ids. */
const itemRuns = 'programs/proxy/dist/test/itemTransport.property.test.js';

/** The safeguards of what must never happen. */
export const mutations: readonly Mutation[] = [
  {
    name: 'retryRule',
    rule: 'an unrepeatable task runs twice',
    scenario: 'booksBreak',
    seeds: [1, 2, 3],
    ci: true,
    edits: [{ file: `${proxy}/forwarding/taskForwarding.js`, text: 'if (!rule.idempotent && !isNotRun)', instead: 'if (false)' }],
  },
  {
    name: 'lostItems',
    rule: 'an unrepeatable task runs twice',
    scenario: 'itemsLost',
    seeds: [1, 2, 3],
    edits: [{ file: `${store}/batch/batch.js`, text: 'else if (this.#record.idempotent && ', instead: 'else if (' }],
  },
  {
    name: 'leaseEpoch',
    rule: 'an unrepeatable task runs twice',
    scenario: 'staleLeases',
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${store}/shard/batchShard.js`,
        text: 'if (command.lease.term < this.#term && !this.#started(command.ref))',
        instead: 'if (false)',
      },
      {
        file: `${store}/batch/batch.js`,
        text: [
          'if (!sameLease(item.lease, lease))',
          "            return { done: false, reason: 'lease' };",
          "        if (item.state === 'DISPATCHED')",
        ].join('\n'),
        instead: "if (item.state === 'DISPATCHED' || item.state === 'QUEUED')",
      },
    ],
  },
  {
    name: 'ranIsNotRefused',
    rule: 'a refused task runs after all',
    scenario: 'modelsBreak',
    seeds: [1, 2, 3],
    ci: true,
    edits: [{ file: `${proxy}/forwarding/taskForwarding.js`, text: 'this.#mayHaveRun ||= !isNotRun;', instead: '' }],
  },
  {
    name: 'cutIsNoEnd',
    rule: 'a success is not the whole, genuine return',
    scenario: 'streamsBreak',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      {
        file: `${proxy}/forwarding/taskForwarding.js`,
        text: "const result = { kind: 'cut', reason };",
        instead: "const result = { kind: 'streamed', reason };",
      },
    ],
  },
  {
    name: 'oneTryAStream',
    rule: 'a stream loses, repeats or joins pieces',
    scenario: 'streamsBreak',
    seeds: [1, 2, 3],
    ci: true,
    edits: [{ file: `${proxy}/forwarding/taskForwarding.js`, text: 'if (this.#pieceCount > 0)', instead: 'if (false)' }],
  },
  {
    name: 'leavingIsNotRouted',
    rule: 'a replica gets tasks after its end was known',
    scenario: 'replicasLeave',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      { file: `${proxy}/updates/announcedReplicas.js`, text: "replica?.state !== 'serving')", instead: 'replica === undefined)' },
      // A replica that says nothing more is left for last, which holds this rule too.
      { file: `${proxy}/selection/slotPool.js`, text: 'fitting.filter((row) => !row.late)', instead: 'fitting' },
    ],
  },
  {
    name: 'onlyAllowedServices',
    rule: 'a task goes to a service no setup allowed',
    scenario: 'quiet',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      {
        file: `${proxy}/forwarding/forwarder.js`,
        text: 'const rule = configuration.services[task.service];',
        instead: "const rule = configuration.services[task.service] ?? configuration.services['memo'];",
      },
      {
        file: `${proxy}/updates/announcementRules.js`,
        text: 'configuration?.services[replica.service]',
        instead: "(configuration?.services[replica.service] ?? configuration?.services['memo'])",
      },
      {
        file: `${proxy}/updates/announcedReplicas.js`,
        text: 'const rule = configuration.services[replica.service];',
        instead: "const rule = configuration.services[replica.service] ?? configuration.services['memo'];",
      },
    ],
  },
  {
    name: 'inForceMeansEverywhere',
    rule: 'a confirmed setup is ignored, or an old one returns',
    scenario: 'pruneUnheard',
    seeds: [1, 2, 3],
    ci: true,
    edits: [{ file: `${controller}/configuration/configurationFreshness.js`, text: 'return known && ', instead: 'return true || ' }],
  },
  {
    name: 'freshAfterAFreeze',
    rule: 'a confirmed setup is ignored, or an old one returns',
    scenario: 'pruneWhileFrozen',
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${proxy}/updates/freshness.js`,
        text: 'return this.#options.clock.nowMs() - this.#freshFromMs <= configuration.bounds.freshnessMs;',
        instead: 'return true;',
      },
    ],
  },
  {
    name: 'syncBeforeConfirming',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'powerAfterConfirm',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      { file: `${consensus}/member/requestHandler.js`, text: 'await this.#state.persist(', instead: 'void this.#state.persist(' },
      {
        file: `${consensus}/replication/leadership.js`,
        text: 'this.#majorityOf((follower) => follower.matchIndex, this.#syncedIndex)',
        instead: 'this.#majorityOf((follower) => follower.matchIndex, this.#state.log.lastIndex)',
      },
    ],
  },
  {
    name: 'compareAndSetAtConfirm',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'racingOperators',
    seeds: [1, 2, 3],
    edits: [{ file: `${controller}/configuration/planRegister.js`, text: 'plan.base !== version || ', instead: '' }],
  },
  {
    name: 'termBeforeARead',
    rule: 'an accepted lot is lost, doubled or changed',
    scenario: 'ownerCutOff',
    seeds: [1, 3],
    edits: [
      { file: `${consensus}/member/member.js`, text: 'await this.#role.serving().confirmLeadership();', instead: 'this.#role.serving();' },
      {
        file: `${consensus}/member/member.js`,
        text: 'if (leadership.majorityAgeMs() > ',
        instead: 'if (false && leadership.majorityAgeMs() > ',
      },
    ],
  },
  {
    name: 'goneLeaderIsReplaced',
    rule: 'an accepted lot is lost, doubled or changed',
    scenario: 'ownerDiesAfterAccept',
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${consensus}/member/leaderMonitor.js`,
        text: 'missedHeartbeats && this.#isSuccessor())',
        instead: 'missedHeartbeats && false)',
      },
    ],
  },
  {
    name: 'emptyDiskHasNoVote',
    rule: 'an accepted lot is lost, doubled or changed',
    scenario: 'emptyDiskVotes',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      {
        file: `${consensus}/shard/memberIdentities.js`,
        text: 'const memberId = (this.#options.mintMemberId ?? randomUUID)();',
        instead: 'const memberId = `${this.#options.name}-${shard}`;',
      },
    ],
  },
  {
    name: 'startCheck',
    rule: 'an item of an ended lot starts',
    scenario: 'endedWhileFrozen',
    seeds: [1, 2, 3],
    ci: true,
    edits: [{ file: `${proxy}/batch-runner/ownItemRunner.js`, text: 'if (started?.done === false)', instead: 'if (false)' }],
  },
  {
    name: 'unreachableCandidateIsPassedOver',
    rule: 'an accepted batch item waits too long for its start',
    scenario: 'bothRolesCutOff',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      {
        file: `${controller}/roles/roleOffers.js`,
        text: 'const candidates = [...first, ...last];',
        instead: 'const candidates = order.slice(0, 1);',
      },
    ],
  },
  {
    name: 'lapsedLeaseIsGrantedAnew',
    rule: 'an accepted batch item waits too long for its start',
    scenario: 'bothRolesCutOff',
    seeds: [1, 2, 3],
    edits: [{ file: `${controller}/roles/roleLeaseGrantor.js`, text: 'return this.#lapsed(role);', instead: 'return false;' }],
  },
  {
    name: 'roundBeforeAVerdict',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'configurationLeaderCutOff',
    seeds: [1, 2, 3],
    edits: [
      { file: `${consensus}/member/member.js`, text: 'await this.#role.serving().confirmLeadership();', instead: 'this.#role.serving();' },
      {
        file: `${consensus}/member/member.js`,
        text: 'if (leadership.majorityAgeMs() > ',
        instead: 'if (false && leadership.majorityAgeMs() > ',
      },
    ],
  },
  {
    name: 'silentMemberIsAskedLast',
    rule: 'an accepted batch item waits too long for its start',
    scenario: 'batchLeaderCutOff',
    seeds: [1, 2, 3],
    edits: [{ file: `${consensus}/protocol/leaderFinder.js`, text: 'silentMs(a) === silentMs(b) ? 0', instead: 'true ? 0' }],
  },
  {
    name: 'waitingPurse',
    rule: "a branch's waiting work overruns its share",
    scenario: 'floodAfterIdle',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      {
        file: `${rateLimit}/quotas/account.js`,
        text: 'this.waiting = new LocalAllowance(shareOf(bounds.rate, bounds.waitingRatio)',
        instead: 'this.waiting = new LocalAllowance(shareOf(bounds.rate, 1)',
      },
      {
        file: `${rateLimit}/quotas/account.js`,
        text: 'this.waiting.reshape(shareOf(bounds.rate, bounds.waitingRatio)',
        instead: 'this.waiting.reshape(shareOf(bounds.rate, 1)',
      },
    ],
  },
  {
    name: 'emptyAtTakeover',
    rule: "a branch's waiting work overruns its share",
    scenario: 'floodAndMoves',
    seeds: [1, 2, 3],
    edits: [
      { file: `${rateLimit}/quotas/account.js`, text: 'const none = { requests: 0, tokens: 0 };', instead: 'const none = bounds.rate;' },
    ],
  },
  {
    name: 'rumoursAreRefuted',
    rule: 'service stays below a quarter after repair',
    scenario: 'cutApart',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      {
        file: `${membership}/node/membership.js`,
        text: 'if (nodeRecord !== undefined && this.#self.isContradictedBy(nodeRecord))',
        instead: 'if (false)',
      },
    ],
  },
  {
    name: 'responseId',
    rule: 'a success is not the whole, genuine return',
    scenario: exchanges,
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${proxy}/connections/pooledRequest.js`,
        text: 'if (headerOf(raw, this.#options.idHeader) !== this.#options.id)',
        instead: 'if (false)',
      },
    ],
  },
  {
    name: 'ranIsNotSentAgain',
    rule: 'an unrepeatable task runs twice',
    scenario: exchanges,
    seeds: [1, 2, 3],
    edits: [{ file: `${proxy}/forwarding/requestForwarding.js`, text: 'if (this.#mayHaveRun && !isIdempotent)', instead: 'if (false)' }],
  },
  {
    name: 'wordlessRefusal',
    rule: 'a refused task runs after all',
    scenario: exchanges,
    seeds: [1, 2, 3],
    edits: [{ file: `${proxy}/forwarding/upstreamAttempt.js`, text: 'if (promises.has(this.#status))', instead: 'if (false)' }],
  },
  {
    name: 'noIdTwiceOnAConnection',
    rule: 'a success is not the whole, genuine return',
    scenario: itemRuns,
    seeds: [1, 2, 3],
    edits: [{ file: `${proxy}/connections/connectionPool.js`, text: '!recentIds.includes(id)', instead: 'true' }],
  },
  ...controlMutations,
  ...consensusMutations,
];
