package publisher

import (
	"context"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// endingsRetryInterval is the time after which a failed write of endings is repeated.
	endingsRetryInterval = 250 * time.Millisecond
	// minRewriteSize is the size in bytes below which the journal of endings only grows.
	minRewriteSize = 256 << 10
	// rewriteGrowth is how many times its size after the last rewrite the journal reaches
	// before it is rewritten without the endings that were dropped.
	rewriteGrowth = 4
)

// wakeWriter tells the writer that there is something to write.
func (e *endings) wakeWriter() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// writeEndings writes new endings to the journal until the context ends, and has them
// confirmed to the nodes that reported them. What can't be written stays unconfirmed, and is
// tried again.
func (p *publisher) writeEndings(ctx context.Context) {
	rewritten, failing := p.config.Endings.Size(), false
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.endings.wake:
		}
		err := p.writeNewEndings(&rewritten)
		switch {
		case err != nil && !failing:
			p.config.Logger.Warn("endings of backend servers can't be stored, and are not confirmed until they are", "cause", err)
		case err == nil && failing:
			p.config.Logger.Info("endings of backend servers are stored again")
		}
		if failing = err != nil; failing {
			time.AfterFunc(endingsRetryInterval, p.endings.wakeWriter)
		}
	}
}

// writeNewEndings appends what is unwritten to the journal, or rewrites it once it has grown
// beyond the size in bytes of the last rewrite, which it updates.
func (p *publisher) writeNewEndings(rewritten *int64) error {
	p.mu.Lock()
	list := make([]waxwingseam.EndingsMessage, 0, len(p.endings.unwritten))
	for server, v := range p.endings.unwritten {
		list = append(list, waxwingseam.EndingsMessage{Server: server, Endings: slices.Clone(v)})
	}
	p.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	if p.config.Endings.Size() > max(minRewriteSize, *rewritten*rewriteGrowth) {
		if err := p.config.Endings.Rewrite(p.allEndings()); err != nil {
			return err
		}
		*rewritten = p.config.Endings.Size()
	} else if err := p.config.Endings.Append(list); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.endings.written)
	p.endings.written = make(chan struct{})
	for _, m := range list {
		if rest := p.endings.unwritten[m.Server][len(m.Endings):]; len(rest) > 0 {
			p.endings.unwritten[m.Server] = rest
			p.endings.wakeWriter()
			continue
		}
		delete(p.endings.unwritten, m.Server)
		p.markEndings(m.Server, false)
	}
	return nil
}

// allEndings returns all endings that are remembered.
func (p *publisher) allEndings() []waxwingseam.EndingsMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]waxwingseam.EndingsMessage, 0, len(p.endings.byServer))
	for server, v := range p.endings.byServer {
		list = append(list, waxwingseam.EndingsMessage{Server: server, Endings: slices.Clone(v)})
	}
	return list
}
