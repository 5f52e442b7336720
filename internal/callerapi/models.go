package callerapi

import (
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

func toWireModel(configuration *entity.Configuration, model *entity.Model) wireModel {
	return wireModel{
		ID: string(model.ID), Object: "model", Created: max(0, configuration.ChangedAt.Unix()), OwnedBy: "hyssophoist",
	}
}

func (h *Handler) serveModels(w http.ResponseWriter, _ *http.Request, info requestInfo) error {
	models := wireModels{Object: "list", Data: []wireModel{}}
	for i := range info.configuration.Preset.Models {
		models.Data = append(models.Data, toWireModel(info.configuration, &info.configuration.Preset.Models[i]))
	}
	writeJSON(w, http.StatusOK, models)
	return nil
}

func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request, info requestInfo) error {
	id := pathVariable(r, "model")
	model := findModel(info.configuration, id)
	if model == nil {
		return errkind.New(errkind.UnknownModel, "model %q does not exist", id)
	}
	writeJSON(w, http.StatusOK, toWireModel(info.configuration, model))
	return nil
}

// pathVariable returns the unescaped value of a route variable.
func pathVariable(r *http.Request, name string) string {
	escaped := mux.Vars(r)[name]
	if unescaped, err := url.PathUnescape(escaped); err == nil {
		return unescaped
	}
	return escaped
}
