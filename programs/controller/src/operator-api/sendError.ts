import type { FastifyReply } from 'fastify';
import type { Finding } from '@pewterlanding/model';

/** Answers with a status from 400 up: `error` says what is wrong, `findings` where, if the body was read. */
export function sendError(reply: FastifyReply, status: number, error: string, findings?: readonly Finding[]): FastifyReply {
  return reply.code(status).send(findings === undefined ? { error } : { error, findings });
}
