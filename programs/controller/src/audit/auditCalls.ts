import * as v from 'valibot';
import { leaderReply } from '@pewterlanding/consensus';
import { Count } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { AuditLine } from './auditLine.js';
import { AuditTrail } from './auditTrail.js';
import { Confirmation } from './confirmation.js';

/** Calls that read the audit trail and the history of confirmations. */
export const auditCalls = {
  audit: defineCall('controller.audit', v.strictObject({}), leaderReply(AuditTrail)),
  /** Lines of a controller's own audit file, from any controller; the hash chain shows whether they belong to the trail. */
  auditLines: defineCall(
    'controller.auditLines',
    v.strictObject({ after: Count, limit: Count }),
    v.strictObject({ lines: v.array(AuditLine) }),
  ),
  /** The newest confirmations, oldest first. */
  history: defineCall('controller.history', v.strictObject({}), leaderReply(v.array(Confirmation))),
};
