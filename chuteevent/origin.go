package chuteevent

import (
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutetable"
)

// Origin identifies a call and the entry host that took it.
type Origin struct {
	ID   CallID
	From chutetable.HostID // empty for this host's front end
}

// Answer returns the effect that answers the call at this host's front end, or through the peer that forwarded it.
func (o Origin) Answer(reply chutecall.Reply) Effect {
	if o.From == "" {
		return AnswerCall{ID: o.ID, Reply: reply}
	}
	return SendPeerMessage{To: o.From, Message: ForwardReply{ID: o.ID, Reply: reply}}
}
