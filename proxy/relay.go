package proxy

// This file owns the answers to clients: a host's 200 unchanged, a deny or an abort, each whole and once.
// It must never begin an answer that it does not hold to the end.

import (
	"ivybank/proxy/http1"
)

// final gives a req its one final answer, counted by its kind.
func (p *Proxy) final(r *req, kind *int, a http1.Answer) {
	if r == nil || r.ended || r.relay != nil { // what is being passed on is the answer
		return
	}
	*kind++
	r.ended = true
	p.told(r, kind == &p.count.Done, p.now())
	p.drop(r.flow)
	p.forget(r)
	if r.key != nil {
		p.settle(*r.key, outcomeOf(a), a)
		return
	}
	c := r.client
	c.req = nil
	p.answer(c, a, r.call.Close)
	p.turn(c)
}

// lastAnswer says whether a client's connection ends with its next answer, whatever that is to. Past their part of the
// descriptors clients' do, and are told so: no call can cross that, and clients that ask once and stay, be it for
// health, do not crowd out those that come next.
func (p *Proxy) lastAnswer(c *client) bool {
	return c.last || len(p.clients) > p.sockets/keepPart || p.drain.ending || p.drain.emptied != 0
}

// answer writes to a client; after the last answer its connection is closed once all of it has left.
func (p *Proxy) answer(c *client, a http1.Answer, last bool) {
	if c.closed {
		return
	}
	c.last, c.rests = last || p.lastAnswer(c), p.now()
	a.Close = c.last
	c.write(http1.AppendAnswer(nil, a, false))
	switch {
	case c.bad != nil:
		p.after(p.now(), badWait, func(now int64) { p.endClient(c, now) })
	case c.last:
		p.endClient(c, p.now())
	}
}

// endClient closes a client's connection when the kernel has all that was written to it, as nbio drops what
// it still holds, or when the client has not read that for as long as any client waits.
func (p *Proxy) endClient(c *client, now int64) {
	p.closeWritten(c, c.took.Load()+c.heard.Load(), now, now+stall)
}

// closeWritten waits as long as it gets on. A body that still comes is read out first: closing on it would reset the
// client before it has seen its answer.
func (p *Proxy) closeWritten(c *client, moved, now, latest int64) {
	if is := c.took.Load() + c.heard.Load(); is != moved && c.bad == nil {
		moved, latest = is, now+stall
	}
	switch {
	case c.closed:
	case c.written() && (c.flow == nil || c.bad != nil) || now >= latest:
		c.shut()
	default:
		p.after(now, glance, func(now int64) { p.closeWritten(c, moved, now, latest) })
	}
}
